package opalcove.transport;

import io.netty.util.internal.logging.AbstractInternalLogger;
import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.vertx.core.spi.logging.LogDelegate;
import io.vertx.core.spi.logging.LogDelegateFactory;
import org.tinylog.Logger;

/**
 * Routes the log messages of Vert.x and Netty, from level info up, to tinylog. Otherwise both would search for a
 * logging library at the start and end up at java.util.logging, whose classes are not needed for anything else, and
 * whose lines have a different format from those of the program. Stateless.
 */
public final class LibraryLogging {
    private static final String VERTX_FACTORY_PROPERTY = "vertx.logger-delegate-factory-class-name";

    private LibraryLogging() {}

    /**
     * Must be called before a class of Vert.x or Netty that logs is loaded; a Vert.x factory that is set already stays.
     */
    public static void install() {
        if (System.getProperty(VERTX_FACTORY_PROPERTY) == null) {
            System.setProperty(VERTX_FACTORY_PROPERTY, VertxLogs.class.getName());
        }
        InternalLoggerFactory.setDefaultFactory(new NettyLogs());
    }

    /** Created by Vert.x by its class name. */
    public static final class VertxLogs implements LogDelegateFactory {
        @Override
        public boolean isAvailable() {
            return true;
        }

        @Override
        public LogDelegate createDelegate(String name) {
            return new VertxLog();
        }
    }

    private static final class VertxLog implements LogDelegate {
        @Override
        public String implementation() {
            return "tinylog";
        }

        @Override
        public boolean isWarnEnabled() {
            return true;
        }

        @Override
        public boolean isInfoEnabled() {
            return true;
        }

        @Override
        public boolean isDebugEnabled() {
            return false;
        }

        @Override
        public boolean isTraceEnabled() {
            return false;
        }

        @Override
        public void error(Object message) {
            Logger.error(message);
        }

        @Override
        public void error(Object message, Throwable cause) {
            Logger.error(cause, String.valueOf(message));
        }

        @Override
        public void warn(Object message) {
            Logger.warn(message);
        }

        @Override
        public void warn(Object message, Throwable cause) {
            Logger.warn(cause, String.valueOf(message));
        }

        @Override
        public void info(Object message) {
            Logger.info(message);
        }

        @Override
        public void info(Object message, Throwable cause) {
            Logger.info(cause, String.valueOf(message));
        }

        @Override
        public void debug(Object message) {}

        @Override
        public void debug(Object message, Throwable cause) {}

        @Override
        public void trace(Object message) {}

        @Override
        public void trace(Object message, Throwable cause) {}
    }

    private static final class NettyLogs extends InternalLoggerFactory {
        @Override
        protected InternalLogger newInstance(String name) {
            return new NettyLog(name);
        }
    }

    /** Netty and tinylog use the same placeholders; if there is a cause, it is the last argument. */
    private static final class NettyLog extends AbstractInternalLogger {
        private static final long serialVersionUID = 1;

        NettyLog(String name) {
            super(name);
        }

        private static Throwable cause(Object... arguments) {
            return arguments.length > 0 && arguments[arguments.length - 1] instanceof Throwable last ? last : null;
        }

        @Override
        public boolean isTraceEnabled() {
            return false;
        }

        @Override
        public void trace(String message) {}

        @Override
        public void trace(String format, Object argument) {}

        @Override
        public void trace(String format, Object first, Object second) {}

        @Override
        public void trace(String format, Object... arguments) {}

        @Override
        public void trace(String message, Throwable cause) {}

        @Override
        public boolean isDebugEnabled() {
            return false;
        }

        @Override
        public void debug(String message) {}

        @Override
        public void debug(String format, Object argument) {}

        @Override
        public void debug(String format, Object first, Object second) {}

        @Override
        public void debug(String format, Object... arguments) {}

        @Override
        public void debug(String message, Throwable cause) {}

        @Override
        public boolean isInfoEnabled() {
            return true;
        }

        @Override
        public void info(String message) {
            Logger.info((Object) message);
        }

        @Override
        public void info(String format, Object argument) {
            Logger.info(cause(argument), format, argument);
        }

        @Override
        public void info(String format, Object first, Object second) {
            Logger.info(cause(second), format, first, second);
        }

        @Override
        public void info(String format, Object... arguments) {
            Logger.info(cause(arguments), format, arguments);
        }

        @Override
        public void info(String message, Throwable cause) {
            Logger.info(cause, message);
        }

        @Override
        public boolean isWarnEnabled() {
            return true;
        }

        @Override
        public void warn(String message) {
            Logger.warn((Object) message);
        }

        @Override
        public void warn(String format, Object argument) {
            Logger.warn(cause(argument), format, argument);
        }

        @Override
        public void warn(String format, Object first, Object second) {
            Logger.warn(cause(second), format, first, second);
        }

        @Override
        public void warn(String format, Object... arguments) {
            Logger.warn(cause(arguments), format, arguments);
        }

        @Override
        public void warn(String message, Throwable cause) {
            Logger.warn(cause, message);
        }

        @Override
        public boolean isErrorEnabled() {
            return true;
        }

        @Override
        public void error(String message) {
            Logger.error((Object) message);
        }

        @Override
        public void error(String format, Object argument) {
            Logger.error(cause(argument), format, argument);
        }

        @Override
        public void error(String format, Object first, Object second) {
            Logger.error(cause(second), format, first, second);
        }

        @Override
        public void error(String format, Object... arguments) {
            Logger.error(cause(arguments), format, arguments);
        }

        @Override
        public void error(String message, Throwable cause) {
            Logger.error(cause, message);
        }
    }
}
