package opalcove.server;

import java.lang.reflect.Proxy;
import org.tinylog.Logger;

/**
 * Handles SIGHUP, which reports that the configuration file was replaced. A signal that arrives before a listener is
 * set is delivered when it is set. Thread-safe; the listener runs on the signal's thread, or on the caller's thread for
 * such a signal.
 */
public final class ReloadSignal {
    private Runnable listener;
    private boolean isReceived;

    /** Installs the handler. Without a handler SIGHUP would end the process. */
    public ReloadSignal() {
        try {
            // Only the JDK's module jdk.unsupported can handle a signal. Its classes are used by reflection, because
            // direct use causes a compiler warning that cannot be suppressed.
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object handlerProxy = Proxy.newProxyInstance(
                    handler.getClassLoader(), new Class<?>[] {handler}, (self, method, arguments) -> {
                        signalReceived();
                        return null;
                    });
            Object previous = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), handlerProxy);
            if (previous == handler.getField("SIG_IGN").get(null)) {
                // The JVM does not handle a signal that was ignored when the process was started, as under nohup.
                // Without this message an administrator would rely on a reload that never happens.
                Logger.error("SIGHUP was ignored when this process was started, and cannot be handled: a replaced"
                        + " configuration file needs a restart");
            }
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("SIGHUP cannot be handled", e);
        }
    }

    private synchronized void signalReceived() {
        isReceived = true;
        if (listener != null) {
            listener.run();
        }
    }

    /** Runs the action at each SIGHUP, and immediately if one was received already. */
    public synchronized void listen(Runnable action) {
        listener = action;
        if (isReceived) {
            action.run();
        }
    }
}
