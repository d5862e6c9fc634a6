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

/** The operators' commands: makes a plan of what a settings file changes in a running gateway, and applies it. */
public final class Planner {
    private static final int PATIENCE_MS = 10_000;

    private final Vertx vertx;
    private final HttpClient client;

    /** Makes plans by asking running gateways on this event loop. */
    public Planner(Vertx vertx) {
        this.vertx = vertx;
        client = vertx.createHttpClient();
    }

    /** Compares the running gateway with the wanted nodes, writes the plan's file and tells what it would do. */
    public String plan(HostAndPort control, List<Backend> wanted, Path planFile) throws IOException {
        JsonFields list = JsonFields.parse(call(control, HttpMethod.GET, ""));
        List<Backend> now = EndpointCodec.read(list.objects("endpoints"));
        EndpointPlan plan = new EndpointPlan(control, list.serial("index"), EndpointPlan.between(now, wanted));
        Files.writeString(planFile, plan.write());
        return EndpointPlan.describe(now, plan.changes());
    }

    /** Sends a plan's file to the gateway of which it was made; one that is out of date is refused there. */
    public String apply(Path planFile) throws IOException {
        EndpointPlan plan;
        try {
            plan = EndpointPlan.read(Files.readString(planFile));
        } catch (InvalidConfigurationException e) {
            throw new InvalidConfigurationException(planFile + ": " + e.getMessage());
        }
        return call(plan.control(), HttpMethod.POST, plan.write());
    }

    private String call(HostAndPort control, HttpMethod method, String body) {
        CompletableFuture<String> answer = new CompletableFuture<>();
        // On the event loop, or the body may have come and gone before this thread asks for it.
        vertx.runOnContext(go -> client.request(new RequestOptions()
                        .setMethod(method)
                        .setHost(control.address())
                        .setPort(control.port())
                        .setURI("/v1/endpoints"))
                .compose(request -> request.send(Buffer.buffer(body)))
                .compose(response -> response.body().compose(text -> text(response, text.toString())))
                .onSuccess(answer::complete)
                .onFailure(answer::completeExceptionally));
        try {
            return answer.orTimeout(PATIENCE_MS, TimeUnit.MILLISECONDS).join();
        } catch (CompletionException e) {
            String reason = e.getCause() instanceof TimeoutException
                    ? "no answer"
                    : e.getCause().getMessage();
            throw new InvalidConfigurationException(
                    "the gateway at " + control.address() + ":" + control.port() + ": " + reason);
        }
    }

    private static Future<String> text(HttpClientResponse response, String text) {
        return response.statusCode() == 200 ? Future.succeededFuture(text) : Future.failedFuture(text.strip());
    }
}
