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
 * The open requests of all clients, which have no response yet, and the recent responses.
 *
 * <p>Owned by the event loop of its gateway.
 */
final class OpenRequests {
    /** Maximum number of unacknowledged requests of one client, which is announced to it when it connects. */
    static final int MAX_PER_CLIENT = 64;

    private final RequestDispatcher dispatcher;
    private final Clock clock;
    private final Runnable onCompleted;
    private final Map<String, OpenRequest> open = new HashMap<>();
    private final ResponseCache recent = new ResponseCache();

    /** Creates an empty set; the action runs after each response. */
    OpenRequests(RequestDispatcher dispatcher, Clock clock, Runnable onCompleted) {
        this.dispatcher = dispatcher;
        this.clock = clock;
        this.onCompleted = onCompleted;
    }

    boolean isEmpty() {
        return open.isEmpty();
    }

    /** Returns the open request with this id; null if there is none. */
    OpenRequest find(String requestId) {
        return open.get(requestId);
    }

    /** Returns the response that was sent to this request; null if it is not cached. */
    ResponseMessage recentResponse(String requestId) {
        return recent.get(requestId, clock.now());
    }

    boolean hasMaxRequests(MqttClientSession session) {
        return open.values().stream().filter(each -> each.session == session).count() >= MAX_PER_CLIENT;
    }

    boolean hasNoRequests(MqttClientSession session) {
        return open.values().stream().noneMatch(each -> each.session == session);
    }

    /** Dispatches a request; its response may arrive before this method returns. */
    void dispatch(OpenRequest openRequest, Request request) {
        open.put(openRequest.requestId, openRequest);
        openRequest.deadlineMs = clock.now() + request.timeoutMs();
        openRequest.handle = dispatcher.dispatch(request, openRequest);
    }

    /** Sends the response of a request and caches it for redeliveries. */
    void complete(OpenRequest request, Response response) {
        open.remove(request.requestId);
        ResponseMessage message = ResponseMessage.of(response, request.correlation);
        recent.put(request.requestId, message, clock.now(), request.deadlineMs);
        request.session.respond(request, message);
        onCompleted.run();
    }

    /**
     * Cancels the session's requests of QoS 0, which the client cannot deliver again. Requests of QoS 1 continue, since the
     * client may reconnect and deliver them again.
     */
    void onClientDisconnected(MqttClientSession session) {
        for (OpenRequest each : List.copyOf(open.values())) {
            if (each.session == session && each.qos == MqttQoS.AT_MOST_ONCE) {
                open.remove(each.requestId);
                each.handle.clientDisconnected();
            }
        }
    }
}
