package opalcove.plan;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import opalcove.config.EndpointCodec;
import opalcove.config.HostAndPort;
import opalcove.config.InvalidConfigurationException;
import opalcove.core.RequestDispatcher;
import org.tinylog.Logger;

/**
 * The HTTP service of a running gateway that serves its endpoint list and accepts plans: GET and POST of /v1/endpoints,
 * GET of /v1/counters. It listens on a loopback address, and only if the settings file contains one.
 *
 * <p>Owned by the event loop of its gateway.
 */
public final class PlanControlService {
    private static final int MAX_BODY_BYTES = 1024 * 1024;
    private static final int IDLE_TIMEOUT_SECONDS = 30;
    private static final String ENDPOINTS_PATH = "/v1/endpoints";
    private static final String COUNTERS_PATH = "/v1/counters";

    private final RequestDispatcher dispatcher;
    private final HttpServer server;
    private long index = 1;

    /** Creates the service for the endpoint list of a dispatcher. */
    public PlanControlService(Vertx vertx, RequestDispatcher dispatcher) {
        this.dispatcher = dispatcher;
        server = vertx.createHttpServer(new HttpServerOptions().setIdleTimeout(IDLE_TIMEOUT_SECONDS));
        server.requestHandler(this::handle);
    }

    /** Opens the service. The future completes with the port, or fails if the address cannot be bound. */
    public Future<Integer> listen(HostAndPort address) {
        return server.listen(address.port(), address.address()).map(HttpServer::actualPort);
    }

    private void handle(HttpServerRequest request) {
        boolean isGet = request.method() == HttpMethod.GET;
        if (isGet && request.path().equals(ENDPOINTS_PATH)) {
            respond(request, 200, EndpointCodec.write(index, true, dispatcher.backends()) + "\n");
        } else if (isGet && request.path().equals(COUNTERS_PATH)) {
            respond(request, 200, dispatcher.infoLines());
        } else if (request.method() == HttpMethod.POST && request.path().equals(ENDPOINTS_PATH)) {
            readPlan(request);
        } else {
            respond(request, 404, "not found\n");
        }
    }

    private void readPlan(HttpServerRequest request) {
        Buffer body = Buffer.buffer();
        request.handler(part -> {
            // Bounds the memory for a request body that never ends.
            if (body.length() + part.length() > MAX_BODY_BYTES) {
                request.connection().close();
            } else {
                body.appendBuffer(part);
            }
        });
        request.endHandler(end -> apply(request, body.toString()));
    }

    private void apply(HttpServerRequest request, String text) {
        EndpointPlan plan;
        try {
            plan = EndpointPlan.read(text);
        } catch (InvalidConfigurationException e) {
            respond(request, 400, e.getMessage() + "\n");
            return;
        }
        if (plan.index() != index) {
            // Guards against a plan made from another list: its effect would differ from its description.
            respond(request, 409, "the plan is of index " + plan.index() + ", the node list has " + index + "\n");
            return;
        }
        if (!plan.changes().isEmpty()) {
            index++;
            dispatcher.endpointsChanged(false, plan.changes());
        }
        Logger.info(
                "plan with {} changes applied, the endpoint list now has index {}",
                plan.changes().size(),
                index);
        respond(request, 200, "index " + index + "\n");
    }

    private static void respond(HttpServerRequest request, int status, String text) {
        request.response().setStatusCode(status).end(text);
    }
}
