package opalcove.plan;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import opalcove.config.Backend;
import opalcove.config.EndpointCodec;
import opalcove.config.HostAndPort;
import opalcove.config.InvalidConfigurationException;
import opalcove.config.JsonFields;

/**
 * Implements the operator commands that make a plan of the changes from a settings file to a running gateway and apply
 * it. The methods block the calling thread, which must not be the event loop.
 */
public final class Planner {
    private static final int RESPONSE_TIMEOUT_MS = 10_000;

    private final Vertx vertx;
    private final HttpClient client;

    /** Creates a planner that calls running gateways on an event loop of this Vert.x instance. */
    public Planner(Vertx vertx) {
        this.vertx = vertx;
        client = vertx.createHttpClient();
    }

    /**
     * Compares the endpoint list of a running gateway with the wanted backends and writes the plan file.
     *
     * @return a description of the plan with one line per change
     * @throws InvalidConfigurationException if the gateway cannot be reached or does not respond in time
     * @throws IOException if the file cannot be written
     */
    public String plan(HostAndPort control, List<Backend> wanted, Path planFile) throws IOException {
        JsonFields list = JsonFields.parse(call(control, HttpMethod.GET, ""));
        List<Backend> running = EndpointCodec.read(list.objects("endpoints"));
        EndpointPlan plan = new EndpointPlan(control, list.longInteger("index"), EndpointPlan.changes(running, wanted));
        Files.writeString(planFile, plan.write());
        return PlanDescription.of(running, plan.changes());
    }

    /**
     * Sends a plan file to the gateway for which it was made.
     *
     * @return the gateway's response, with the new index of the list
     * @throws InvalidConfigurationException if the file is not a plan, or the gateway rejects it as out of date, cannot
     *     be reached or does not respond in time
     * @throws IOException if the file cannot be read
     */
    public String apply(Path planFile) throws IOException {
        EndpointPlan plan;
        try {
            plan = EndpointPlan.read(Files.readString(planFile));
        } catch (InvalidConfigurationException e) {
            throw new InvalidConfigurationException(planFile + ": " + e.getMessage());
        }
        return call(plan.control(), HttpMethod.POST, plan.write());
    }

    private String call(HostAndPort control, HttpMethod method, String requestBody) {
        CompletableFuture<String> body = new CompletableFuture<>();
        // Runs on the event loop; otherwise the body may arrive before this thread has set its handler.
        vertx.runOnContext(start -> client.request(new RequestOptions()
                        .setMethod(method)
                        .setHost(control.address())
                        .setPort(control.port())
                        .setURI("/v1/endpoints"))
                .compose(request -> request.send(Buffer.buffer(requestBody)))
                .compose(response -> response.body().compose(text -> bodyOrFailure(response, text.toString())))
                .onSuccess(body::complete)
                .onFailure(body::completeExceptionally));
        try {
            return body.orTimeout(RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS).join();
        } catch (CompletionException e) {
            String reason = e.getCause() instanceof TimeoutException
                    ? "no answer"
                    : e.getCause().getMessage();
            throw new InvalidConfigurationException(
                    "the gateway at " + control.address() + ":" + control.port() + ": " + reason);
        }
    }

    private static Future<String> bodyOrFailure(HttpClientResponse response, String body) {
        return response.statusCode() == 200 ? Future.succeededFuture(body) : Future.failedFuture(body.strip());
    }
}
