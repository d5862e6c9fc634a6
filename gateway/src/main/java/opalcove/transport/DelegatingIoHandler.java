package opalcove.transport;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;

/**
 * An event loop's I/O handler and its context, both of which delegate to the original ones; a subclass overrides the
 * methods it changes. One object has both roles, so that a poll of the sockets allocates nothing. Owned by its event
 * loop.
 */
public abstract class DelegatingIoHandler implements IoHandler, IoHandlerContext {
    private final IoHandler handler;
    private IoHandlerContext loopContext;

    protected DelegatingIoHandler(IoHandler handler) {
        this.handler = handler;
    }

    @Override
    public void initialize() {
        handler.initialize();
    }

    @Override
    public int run(IoHandlerContext context) {
        loopContext = context;
        return handler.run(this);
    }

    @Override
    public boolean canBlock() {
        return loopContext.canBlock();
    }

    @Override
    public long delayNanos(long now) {
        return loopContext.delayNanos(now);
    }

    @Override
    public long deadlineNanos() {
        return loopContext.deadlineNanos();
    }

    @Override
    public void reportActiveIoTime(long activeNanos) {
        loopContext.reportActiveIoTime(activeNanos);
    }

    @Override
    public boolean shouldReportActiveIoTime() {
        return loopContext.shouldReportActiveIoTime();
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
