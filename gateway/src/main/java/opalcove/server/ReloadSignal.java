package opalcove.server;

import java.lang.reflect.Proxy;
import org.tinylog.Logger;

/**
 * Hears SIGHUP, by which the platform tells that the configuration file was replaced, from its making on. What comes
 * before anybody listens is kept. A listener runs on a thread of its own.
 */
public final class ReloadSignal {
    private Runnable listener;
    private boolean heard;

    /** Guards the program against its default, which is to end at SIGHUP. */
    public ReloadSignal() {
        try {
            // The JDK's module jdk.unsupported has the one way to hear a signal; named directly, it is a warning that
            // cannot be silenced.
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object hears = Proxy.newProxyInstance(
                    handler.getClassLoader(), new Class<?>[] {handler}, (self, method, arguments) -> {
                        heard();
                        return null;
                    });
            Object before = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), hears);
            if (before == handler.getField("SIG_IGN").get(null)) {
                // Guards whoever counts on it: the JVM leaves a signal alone that is ignored from before, as under
                // nohup.
                Logger.error("SIGHUP was ignored when this process was started, and cannot be heard: a replaced"
                        + " configuration file needs a restart");
            }
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("SIGHUP cannot be heard", e);
        }
    }

    private synchronized void heard() {
        heard = true;
        if (listener != null) {
            listener.run();
        }
    }

    /** Runs the action at each SIGHUP, and at once where one has come already. */
    public synchronized void listen(Runnable action) {
        listener = action;
        if (heard) {
            action.run();
        }
    }
}
