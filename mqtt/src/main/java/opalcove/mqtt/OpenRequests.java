package opalcove.mqtt;

import io.netty.handler.codec.mqtt.MqttQoS;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import opalcove.config.Clock;
import opalcove.core.Request;
import opalcove.core.RequestDispatcher;
import opalcove.core.Response;

/**
 * The requests of all clients that have no response yet, and the responses given recently.
 *
 * <p>Owned by the event loop of its gateway.
 */
final class OpenRequests {
    /** Unacknowledged requests of one client; sent to it when it connects. */
    static final int MAX_PER_CLIENT = 64;

    private final RequestDispatcher dispatcher;
    private final Clock clock;
    private final Runnable onCompleted;
    private final Map<String, OpenRequest> open = new HashMap<>();
    private final ResponseCache recent = new ResponseCache();

    /** Makes an empty set; the action runs after each response. */
    OpenRequests(RequestDispatcher dispatcher, Clock clock, Runnable onCompleted) {
        this.dispatcher = dispatcher;
        this.clock = clock;
        this.onCompleted = onCompleted;
    }

    boolean isEmpty() {
        return open.isEmpty();
    }

    /** The request with this id, or null if it is not open. */
    OpenRequest find(String requestId) {
        return open.get(requestId);
    }

    /** The response that this request got, or null if it is no longer known. */
    ResponseMessage recentResponse(String requestId) {
        return recent.get(requestId, clock.now());
    }

    boolean hasMaxRequests(MqttClientSession session) {
        return open.values().stream().filter(each -> each.session == session).count() >= MAX_PER_CLIENT;
    }

    boolean hasNoRequests(MqttClientSession session) {
        return open.values().stream().noneMatch(each -> each.session == session);
    }

    /** Dispatches a request; its response may come before this returns. */
    void dispatch(OpenRequest opened, Request request) {
        open.put(opened.requestId, opened);
        opened.deadlineMs = clock.now() + request.timeoutMs();
        opened.handle = dispatcher.dispatch(request, opened);
    }

    /** Sends a request's response, and keeps it for redeliveries. */
    void complete(OpenRequest request, Response response) {
        open.remove(request.requestId);
        ResponseMessage message = ResponseMessage.of(response, request.correlation);
        recent.put(request.requestId, message, clock.now(), request.deadlineMs);
        request.session.respond(request, message);
        onCompleted.run();
    }

    /** Requests of QoS 0 cannot come again and are given up; the others go on, for the client may come back. */
    void onClientDisconnected(MqttClientSession session) {
        for (OpenRequest each : List.copyOf(open.values())) {
            if (each.session == session && each.qos == MqttQoS.AT_MOST_ONCE) {
                open.remove(each.requestId);
                each.handle.clientDisconnected();
            }
        }
    }
}
