package opalcove.loop;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;

/** A loop's handler around another, to which all goes on that a subclass does not change. */
public abstract class AroundHandler implements IoHandler {
    private final IoHandler handler;

    protected AroundHandler(IoHandler handler) {
        this.handler = handler;
    }

    @Override
    public void initialize() {
        handler.initialize();
    }

    @Override
    public int run(IoHandlerContext context) {
        return handler.run(context);
    }

    @Override
    public void prepareToDestroy() {
        handler.prepareToDestroy();
    }

    @Override
    public void destroy() {
        handler.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return handler.register(handle);
    }

    @Override
    public void wakeup() {
        handler.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> type) {
        return handler.isCompatible(type);
    }
}
