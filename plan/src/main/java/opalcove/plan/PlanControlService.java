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
 * Where a running gateway shows its node list and takes plans: GET and POST on /v1/endpoints; GET /v1/counters. It is
 * on a loopback address and off unless the settings file names it.
 */
public final class PlanControlService {
    private static final int MOST_BODY = 1024 * 1024;

    private final RequestDispatcher gateway;
    private final HttpServer server;
    private long index = 1;

    /** Takes plans of the backend list for this gateway. */
    public PlanControlService(Vertx vertx, RequestDispatcher gateway) {
        this.gateway = gateway;
        server = vertx.createHttpServer(new HttpServerOptions().setIdleTimeout(30));
        server.requestHandler(this::request);
    }

    /** Opens the desk; gives the port. */
    public Future<Integer> listen(HostAndPort at) {
        return server.listen(at.port(), at.address()).map(HttpServer::actualPort);
    }

    private void request(HttpServerRequest request) {
        String what = request.method() + " " + request.path();
        if (what.equals("GET /v1/endpoints")) {
            answer(request, 200, EndpointCodec.write(index, true, gateway.backends()) + "\n");
        } else if (what.equals("GET /v1/counters")) {
            answer(request, 200, gateway.infoLines());
        } else if (request.path().equals("/v1/endpoints") && request.method() == HttpMethod.POST) {
            Buffer body = Buffer.buffer();
            request.handler(part -> {
                // Guards memory against a body that never ends.
                if (body.length() + part.length() > MOST_BODY) {
                    request.connection().close();
                } else {
                    body.appendBuffer(part);
                }
            });
            request.endHandler(whole -> apply(request, body.toString()));
        } else {
            answer(request, 404, "not found\n");
        }
    }

    private void apply(HttpServerRequest request, String text) {
        EndpointPlan plan;
        try {
            plan = EndpointPlan.read(text);
        } catch (InvalidConfigurationException e) {
            answer(request, 400, e.getMessage() + "\n");
            return;
        }
        if (plan.index() != index) {
            // Guards against a plan that was made of another list: what it shows is not what it would do.
            answer(request, 409, "the plan is of index " + plan.index() + ", the node list has " + index + "\n");
            return;
        }
        if (!plan.changes().isEmpty()) {
            index++;
            gateway.endpointsChanged(false, plan.changes());
        }
        Logger.info(
                "applied {} changes, the node list has index {}", plan.changes().size(), index);
        answer(request, 200, "index " + index + "\n");
    }

    private static void answer(HttpServerRequest request, int status, String text) {
        request.response().setStatusCode(status).end(text);
    }
}
