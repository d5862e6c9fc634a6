package opalcove.resp;

import io.netty.buffer.ByteBuf;
import opalcove.core.ClientState;
import opalcove.core.RequestHandle;
import opalcove.core.Response;
import opalcove.core.ResponseHandler;
import opalcove.core.StreamedValue;

/** A command of a connection and its position in the response pipeline. Owned by the connection's event loop. */
final class PipelineSlot implements ResponseHandler {
    private final ClientConnection connection;
    /** The open request of this command; null if the command is not a request, or the request has ended. */
    private RequestHandle request;
    /** The request's body, which is retained until the request releases it; null if there is none. */
    private ByteBuf body;

    private boolean isComplete;
    /** The response while earlier ones are due; null if there is none. */
    private DeferredResponse deferred;
    /** The response if it is a streamed value; null otherwise. */
    private ResponseStream stream;

    PipelineSlot(ClientConnection connection) {
        this.connection = connection;
    }

    ClientConnection connection() {
        return connection;
    }

    void setBody(ByteBuf requestBody) {
        body = requestBody;
        if (body != null) {
            connection.server().memory().charge(body.readableBytes());
        }
    }

    RequestHandle request() {
        return request;
    }

    void setRequest(RequestHandle handle) {
        request = handle;
    }

    void clearRequest() {
        request = null;
    }

    boolean isComplete() {
        return isComplete;
    }

    /** Marks the response as written, or as completely deferred until the earlier ones are written. */
    void complete() {
        isComplete = true;
        request = null;
    }

    /** Defers the response until the earlier ones are written. */
    void defer(DeferredResponse response) {
        deferred = response;
    }

    /** Returns the deferred response. */
    DeferredResponse deferred() {
        return deferred;
    }

    /** Returns the deferred response, which the caller writes. */
    DeferredResponse takeDeferred() {
        DeferredResponse response = deferred;
        deferred = null;
        return response;
    }

    ResponseStream stream() {
        return stream;
    }

    @Override
    public void onResponse(Response response) {
        try {
            connection.pipeline().respond(this, response);
        } catch (OutOfMemoryError e) {
            connection.allocationFailed(e);
        }
    }

    @Override
    public boolean isNextResponse() {
        return connection.pipeline().isFirst(this);
    }

    @Override
    public boolean acceptsStreamedValue(StreamedValue value) {
        if (connection.isClosing()) {
            return false;
        }
        stream = new ResponseStream(this, value);
        value.deliverTo(stream);
        // The backend connection is not read while earlier responses are due.
        value.setReading(connection.pipeline().isFirst(this));
        stream.advance();
        return true;
    }

    @Override
    public ClientState clientState() {
        return connection.input().clientState();
    }

    /** Releases the buffers of a response that will not be written. */
    void discard() {
        if (deferred != null) {
            takeDeferred().discard();
        }
        if (stream != null) {
            stream.discard();
        }
    }

    @Override
    public void onReleased() {
        if (body != null) {
            connection.server().memory().release(body.readableBytes());
            body.release();
            body = null;
        }
    }
}
