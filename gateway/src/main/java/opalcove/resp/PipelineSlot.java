package opalcove.resp;

import io.netty.buffer.ByteBuf;
import opalcove.core.RequestHandle;
import opalcove.core.Response;
import opalcove.core.ResponseHandler;
import opalcove.core.StreamedValue;

/** One command of a connection, and the place of its response in the pipeline. Owned by the connection's event loop. */
final class PipelineSlot implements ResponseHandler {
    private final ClientConnection connection;
    /** The open request of this command; null for another command, or once the request is over. */
    private RequestHandle request;
    /** The request's body, which is held until the request is settled; null for none. */
    private ByteBuf body;

    private boolean isComplete;
    /** The bytes of a response whose turn has not come; null for none. */
    private ByteBuf deferred;
    /** The streamed value that is the response; null for none. */
    private ResponseStream stream;

    PipelineSlot(ClientConnection connection) {
        this.connection = connection;
    }

    ClientConnection connection() {
        return connection;
    }

    void setBody(ByteBuf requestBody) {
        body = requestBody;
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

    /** The response is written, or held back in full until its turn. */
    void complete() {
        isComplete = true;
        request = null;
    }

    /** Holds back a response until its turn; the bytes are the slot's to release. */
    void defer(ByteBuf response) {
        deferred = response;
    }

    /** Gives the response that was held back; it is the caller's to release. */
    ByteBuf takeDeferred() {
        ByteBuf response = deferred;
        deferred = null;
        return response;
    }

    ResponseStream stream() {
        return stream;
    }

    @Override
    public void onResponse(Response response) {
        connection.pipeline().respond(this, response);
    }

    @Override
    public boolean acceptsStreamedValue(StreamedValue value) {
        if (connection.isClosing()) {
            return false;
        }
        stream = new ResponseStream(this, value);
        value.deliverTo(stream);
        // Before its turn a value waits at its backend.
        value.setReading(connection.pipeline().isFirst(this));
        stream.advance();
        return true;
    }

    @Override
    public boolean isConnected() {
        return connection.input().isConnected();
    }

    /** Releases the bytes of a response that will not be written. */
    void discard() {
        if (deferred != null) {
            deferred.release();
            deferred = null;
        }
        if (stream != null) {
            stream.discard();
        }
    }

    @Override
    public void onReleased() {
        if (body != null) {
            body.release();
            body = null;
        }
    }
}
