package opalcove.server;

import java.lang.reflect.Proxy;
import org.tinylog.Logger;

/**
 * Handles SIGHUP, which reports that the configuration file was replaced. A signal that arrives before there is a listener
 * is delivered to it later. Thread-safe; the listener runs on the signal's thread.
 */
public final class ReloadSignal {
    private Runnable listener;
    private boolean isReceived;

    /** Installs the handler. Guards the process against the default, which is to end at SIGHUP. */
    public ReloadSignal() {
        try {
            // The JDK's module jdk.unsupported has the only way to handle a signal; used directly, it causes a compiler
            // warning that cannot be suppressed.
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
                // Guards whoever relies on it: the JVM does not handle a signal that was ignored before, as under
                // nohup.
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

    /** Runs the action at each SIGHUP, and at once where one was received already. */
    public synchronized void listen(Runnable action) {
        listener = action;
        if (isReceived) {
            action.run();
        }
    }
}
