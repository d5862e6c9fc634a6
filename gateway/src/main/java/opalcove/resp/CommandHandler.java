package opalcove.resp;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import opalcove.core.InvalidRequestException;
import opalcove.core.Request;
import opalcove.core.RequestDispatcher;
import opalcove.metrics.Metrics;
import opalcove.metrics.ShedReason;

/**
 * Executes the commands of all connections of a server. It dispatches requests, and responds to all other commands
 * itself. Owned by the server's event loop.
 */
final class CommandHandler {
    private final RequestDispatcher dispatcher;
    private final DrainState drain;
    private final RequestDecoder requests;

    CommandHandler(RequestDispatcher dispatcher, DrainState drain) {
        this.dispatcher = dispatcher;
        this.drain = drain;
        requests = new RequestDecoder(dispatcher::requestValidator);
    }

    /** Whether the value has the form of a command: a non-empty array of strings. */
    static boolean isCommand(RespDecoder value) {
        boolean hasOnlyStrings = value.type() == '*' && value.itemCount() > 0;
        for (int i = 0; hasOnlyStrings && i < value.itemCount(); i++) {
            hasOnlyStrings = value.isString(i);
        }
        return hasOnlyStrings;
    }

    /** Whether the command, which may have been decoded only in part, is a PING. */
    static boolean isPing(RespDecoder command) {
        return command.isString(0) && RequestDecoder.isNamed(command, "PING");
    }

    /** Executes one command; its response may be written at once or later. */
    void execute(RespDecoder command, PipelineSlot slot) {
        if (RequestDecoder.isRequest(command)) {
            dispatch(command, slot);
        } else {
            respond(command, slot);
        }
    }

    private void dispatch(RespDecoder command, PipelineSlot slot) {
        ClientConnection connection = slot.connection();
        Request request;
        try {
            request = requests.decode(command, connection.socket());
        } catch (InvalidRequestException e) {
            if (e.requestClass() != null) {
                dispatcher.metrics().requestEnded(e.requestClass(), Metrics.RequestOutcome.FAILURE);
            }
            connection.reject(slot, e.getMessage());
            return;
        } catch (OutOfMemoryError e) {
            connection.server().memory().allocationFailed(e);
            dispatcher.refuse(null, slot, ShedReason.NO_MEMORY);
            return;
        }
        slot.setBody(request.body());
        slot.setRequest(dispatcher.dispatch(request, slot, connection.input().unreadMs()));
        if (drain.isProcessEnding()) {
            // Its response follows those of earlier requests, which could otherwise wait until after the process has
            // ended.
            connection.pipeline().expediteAll();
        }
    }

    private void respond(RespDecoder command, PipelineSlot slot) {
        ResponsePipeline pipeline = slot.connection().pipeline();
        switch (command.text(0).toUpperCase(Locale.ROOT)) {
            case "PING" -> {
                if (drain.isRequested()) {
                    pipeline.writeLine(slot, "-ERR draining");
                } else if (command.itemCount() > 1) {
                    pipeline.writeValue(slot, command.slice(1));
                } else {
                    pipeline.writeLine(slot, "+PONG");
                }
            }
            case "CLIENT", "SELECT" -> pipeline.writeLine(slot, "+OK");
            case "INFO" ->
                pipeline.writeOwnValue(
                        slot, () -> Unpooled.copiedBuffer(dispatcher.infoLines(), StandardCharsets.US_ASCII));
            default -> pipeline.writeLine(slot, "-ERR unknown command");
        }
    }
}
