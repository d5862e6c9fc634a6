package opalcove.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import opalcove.TestSettings;
import opalcove.core.InvalidRequestException;
import opalcove.core.NoOpBackendTransport;
import opalcove.core.Request;
import opalcove.core.RequestDispatcher;
import opalcove.core.RequestParameters;
import opalcove.core.RequestValidator;
import opalcove.core.Response;
import opalcove.decision.DecisionSettings;
import opalcove.decision.DeduplicationScope;
import opalcove.decision.Endpoint;
import opalcove.decision.EndpointState;
import opalcove.decision.Idempotency;
import opalcove.decision.LoadMetric;
import opalcove.decision.LoadReportSource;
import org.testng.annotations.Test;

/**
 * Tests the texts on which clients, administrators and stored files depend: options of settings, error reasons, and the
 * endpoint list.
 */
public class OutsideTextsTest {
    private static final String ID = "00000000000000a1";
    private static final String TENANT = "00000000000000b2";

    private static DecisionSettings.RequestClass firstClass(String before, String after) {
        assertTrue(TestSettings.JSON.contains(before), before);
        return SettingsReader.read(JsonFields.parse(TestSettings.JSON.replaceFirst(before, after)))
                .classes()
                .get(0);
    }

    @Test
    public void readsIdempotencyOptionsInAnyCase() {
        List<Idempotency> read = new ArrayList<>();
        for (String option : List.of("safe", "keyed", "unsafe", "SAFE", "Keyed", "uNsAfE")) {
            read.add(firstClass("\"idempotency\":\"safe\"", "\"idempotency\":\"" + option + "\"")
                    .idempotency());
        }
        List<Idempotency> expected = List.of(Idempotency.SAFE, Idempotency.KEYED, Idempotency.UNSAFE);
        assertEquals(read.subList(0, 3), expected);
        assertEquals(read.subList(3, 6), expected);
    }

    @Test
    public void readsGroupOptionsInAnyCase() {
        List<DeduplicationScope> read = new ArrayList<>();
        for (String option : List.of("all", "zone", "cell", "ALL", "Zone", "cELL")) {
            read.add(firstClass("\"group\":\"all\"", "\"group\":\"" + option + "\"")
                    .deduplicationScope());
        }
        List<DeduplicationScope> expected =
                List.of(DeduplicationScope.ALL, DeduplicationScope.ZONE, DeduplicationScope.CELL);
        assertEquals(read.subList(0, 3), expected);
        assertEquals(read.subList(3, 6), expected);
    }

    @Test
    public void namesUnknownOptionAsWrittenWhenRejected() {
        for (String option : List.of("idempotent", "Safe ", "", "pod", "SAFE,KEYED")) {
            assertEquals(
                    expectThrows(
                                    InvalidConfigurationException.class,
                                    () -> firstClass("\"idempotency\":\"safe\"", "\"idempotency\":\"" + option + "\""))
                            .getMessage(),
                    "field profiles[0].idempotency has an unknown value " + option);
            assertEquals(
                    expectThrows(
                                    InvalidConfigurationException.class,
                                    () -> firstClass("\"group\":\"all\"", "\"group\":\"" + option + "\""))
                            .getMessage(),
                    "field profiles[0].group has an unknown value " + option);
        }
        assertEquals(
                expectThrows(InvalidConfigurationException.class, () -> firstClass("\"group\":\"all\"", "\"group\":1"))
                        .getMessage(),
                "field profiles[0].group must be a text");
    }

    @Test
    public void readsOptionsOfLoadReportsAndDiscovery() {
        List<Object> read = new ArrayList<>();
        for (String option : List.of("off", "inline", "on_probe")) {
            read.add(
                    settings("\"how\":\"inline\"", "\"how\":\"" + option + "\"").loadReportSource());
        }
        for (String option : List.of("pushed", "on_request")) {
            read.add(settings("\"discovery\":\"pushed\"", "\"discovery\":\"" + option + "\"")
                    .obligations()
                    .listOnRequest());
        }
        assertEquals(
                read,
                List.of(
                        LoadReportSource.NONE,
                        LoadReportSource.IN_RESPONSES,
                        LoadReportSource.ON_HEALTH_CHECKS,
                        false,
                        true));
        assertEquals(
                List.of("busy_reqs", "pending", "cpu_share", "svc_ms", "served_ps", "failed_ps", "other").stream()
                        .map(SettingsReader::loadMetric)
                        .toList(),
                List.of(
                        LoadMetric.IN_FLIGHT,
                        LoadMetric.QUEUED,
                        LoadMetric.CPU_SHARE,
                        LoadMetric.SERVICE_MS,
                        LoadMetric.SERVED_PER_S,
                        LoadMetric.ERRORS_PER_S,
                        LoadMetric.UNKNOWN));
    }

    private static DecisionSettings settings(String before, String after) {
        assertTrue(TestSettings.JSON.contains(before), before);
        return SettingsReader.read(JsonFields.parse(TestSettings.JSON.replace(before, after)));
    }

    @Test
    public void namesFieldAndExpectedTypeWhenFieldIsInvalid() {
        JsonFields fields =
                JsonFields.parse("{\"row\":[1,\"2\"],\"texts\":[1],\"text\":\"x\",\"half\":0.5,\"in\":{\"a\":1}}");
        List<String> messages = new ArrayList<>();
        List<Runnable> reads = List.of(
                () -> fields.numbers("row"),
                () -> fields.texts("texts"),
                () -> fields.number("text"),
                () -> fields.text("half"),
                () -> fields.longInteger("half"),
                () -> fields.flag("text"),
                () -> fields.object("text"),
                () -> fields.objects("text"),
                () -> fields.object("in").text("absent"),
                () -> fields.object("in").text("a"),
                () -> JsonFields.parse("[]"));
        for (Runnable read : reads) {
            messages.add(
                    expectThrows(InvalidConfigurationException.class, read::run).getMessage());
        }
        assertEquals(
                messages,
                List.of(
                        "field row must hold numbers",
                        "field texts must hold texts",
                        "field text must be a number",
                        "field half must be a text",
                        "field half must be a whole number",
                        "field text must be true or false",
                        "field text must be an object",
                        "field text must be a list",
                        "field in.absent is missing",
                        "field in.a must be a text",
                        "the message must be an object"));
        assertEquals(
                expectThrows(InvalidConfigurationException.class, () -> JsonFields.parse("{"))
                        .getMessage()
                        .split(": ")[0],
                "malformed JSON");
        for (String address : List.of("a", ":1", "a:x", "a:65536", "a/b:1")) {
            assertEquals(
                    expectThrows(InvalidConfigurationException.class, () -> HostAndPort.parse(address, "listen"))
                            .getMessage(),
                    "field listen must be an address and a port, not " + address);
        }
    }

    @Test
    public void writesEndpointListInStoredFormat() {
        List<Backend> backends = List.of(
                new Backend(
                        new Endpoint("n1", "room-a", "app", 3, EndpointState.UP, 1, 1700000000123.0), "127.0.0.1:7001"),
                new Backend(new Endpoint("n2", "", "", 0, EndpointState.DRAINING, 2.5, 0), "10.0.0.2:7002"),
                new Backend(new Endpoint("n3", "room-b", "db", -1, EndpointState.REMOVED, 0, 0.9), "10.0.0.3:1"));
        String written = "{\"index\":42,\"snapshot\":true,\"endpoints\":["
                + "{\"name\":\"n1\",\"address\":\"127.0.0.1:7001\",\"zone\":\"room-a\",\"type\":\"app\",\"group\":3,"
                + "\"status\":\"up\",\"weight\":1,\"since_ms\":1700000000123},"
                + "{\"name\":\"n2\",\"address\":\"10.0.0.2:7002\",\"zone\":\"\",\"type\":\"\",\"group\":0,"
                + "\"status\":\"draining\",\"weight\":2.5,\"since_ms\":0},"
                + "{\"name\":\"n3\",\"address\":\"10.0.0.3:1\",\"zone\":\"room-b\",\"type\":\"db\",\"group\":-1,"
                + "\"status\":\"removed\",\"weight\":0,\"since_ms\":0}]}";
        assertEquals(EndpointCodec.write(42, true, backends).toString(), written);
        assertEquals(
                EndpointCodec.write(7, false, List.of()).toString(),
                "{\"index\":7,\"snapshot\":false,\"endpoints\":[]}");
        List<Backend> read = EndpointCodec.read(JsonFields.parse(written).objects("endpoints"));
        assertEquals(read.subList(0, 2), backends.subList(0, 2));
        assertEquals(EndpointCodec.write(42, true, read).toString(), written);
    }

    @Test
    public void readsEndpointWithNameAndAddressOnly() {
        List<Backend> read = EndpointCodec.read(JsonFields.parse("{\"l\":[{\"name\":\"n\",\"address\":\"a:1\"}]}")
                .objects("l"));
        assertEquals(read, List.of(new Backend(new Endpoint("n", "", "", 0, EndpointState.UP, 1, 0), "a:1")));
        assertEquals(
                expectThrows(
                                InvalidConfigurationException.class,
                                () -> EndpointCodec.read(JsonFields.parse(
                                                "{\"l\":[{\"name\":\"n\",\"address\":\"a:1\",\"status\":\"UP\"}]}")
                                        .objects("l")))
                        .getMessage(),
                "field l[0].status has an unknown value UP");
    }

    @Test
    public void namesParameterWhenItIsInvalid() {
        Map<String, String> values = new HashMap<>();
        values.put("empty", "");
        values.put("word", "x");
        values.put("half", "0.5");
        values.put("ten", "1234567890");
        RequestParameters parameters = new RequestParameters(values);
        assertEquals(rejection(() -> parameters.required("plan")), "plan is missing");
        assertEquals(rejection(() -> parameters.required("empty")), "empty is missing");
        assertEquals(rejection(() -> parameters.number("word")), "word is not a number in range");
        assertEquals(rejection(() -> parameters.number("ten")), "ten is not a number in range");
        assertEquals(rejection(() -> parameters.integer("half")), "half is not a whole number");
        for (String id : List.of("", "00000000000000a", "00000000000000ag", "00000000000000a12")) {
            assertEquals(rejection(() -> RequestParameters.hexId(id, "the id")), "the id must be 16 hex digits");
        }
    }

    @Test
    public void rejectsInvalidRequestsWithTheseTexts() {
        RequestValidator validator = new RequestValidator(TestSettings.settings());
        assertEquals(rejection(() -> validator.requestClass("other")), "unknown class");
        assertEquals(
                rejection(() -> validator.validate(request(TENANT, "other", "start", 1, 4000, null, 1, 0))),
                "unknown class");
        assertEquals(
                rejection(() -> validator.validate(request(TENANT, "slot-status", "other", 1, 4000, null, 1, 0))),
                "unknown plan");
        assertEquals(
                rejection(() ->
                        validator.validate(request("0000000200000000", "slot-status", "start", 1, 4000, null, 1, 0))),
                "the operator is out of range");
        assertEquals(
                rejection(() -> validator.validate(request("2", "slot-status", "start", 1, 4000, null, 1, 0))),
                "the operator must be 16 hex digits");
        for (double units : new double[] {0, -1, 8.5, Double.NaN}) {
            assertEquals(
                    rejection(
                            () -> validator.validate(request(TENANT, "slot-status", "start", units, 4000, null, 1, 0))),
                    "the units are out of range");
        }
        for (double waitMs : new double[] {0, -1, 4001, Double.NaN}) {
            assertEquals(
                    rejection(() -> validator.validate(request(TENANT, "slot-status", "start", 1, waitMs, null, 1, 0))),
                    "the time to wait is out of range");
        }
        for (int[] gateways : new int[][] {{0, 0}, {2, 0}, {1, -1}, {1, 1}}) {
            assertEquals(
                    rejection(() -> validator.validate(
                            request(TENANT, "slot-status", "start", 1, 4000, null, gateways[0], gateways[1]))),
                    "the operator's gateways are out of range");
        }
        assertEquals(
                rejection(() -> validator.validate(request(TENANT, "slot-status", "start", 1, 4000, "k", 1, 0))),
                "a key for a class without, or none");
        assertEquals(
                rejection(() -> validator.validate(request(TENANT, "swap-record", "start", 1, 4000, null, 1, 0))),
                "a key for a class without, or none");
        for (String key : List.of("a,b", "a b", "\u007f", "k".repeat(65))) {
            assertEquals(
                    rejection(() -> validator.validate(request(TENANT, "swap-record", "start", 1, 4000, key, 1, 0))),
                    "the key cannot be passed on");
        }
    }

    @Test
    public void respondsImmediatelyWhenRequestIsDuplicateOrOverLimit() throws Exception {
        Vertx vertx = Vertx.vertx();
        try {
            List<Response> responses = new ArrayList<>();
            runOnEventLoop(vertx, () -> {
                RequestDispatcher dispatcher = new RequestDispatcher(
                        vertx, new Clock(), TestSettings.settings(2), 1, new UnresponsiveTransport());
                dispatcher.endpointsChanged(
                        true,
                        List.of(new Backend(new Endpoint("n1", "room-a", "app", 0, EndpointState.UP, 1, 0), "a:1")));
                dispatcher.dispatch(request(TENANT, "slot-status", "start", 1, 4000, null, 1, 0), response -> {});
                dispatcher.dispatch(request(TENANT, "slot-status", "start", 1, 4000, null, 1, 0), responses::add);
                dispatcher.dispatch(request(TENANT, "other", "start", 1, 4000, null, 1, 0), responses::add);
                Request second = new Request(
                        "00000000000000a2", TENANT, "slot-status", "start", 1, 4000, null, false, 1, 0, null);
                dispatcher.dispatch(second, response -> {});
                Request third = new Request(
                        "00000000000000a3", TENANT, "slot-status", "start", 1, 4000, null, false, 1, 0, null);
                dispatcher.dispatch(third, responses::add);
                return null;
            });
            assertEquals(
                    responses,
                    List.of(
                            new Response.Failed("this id is under way"),
                            new Response.Failed("unknown class"),
                            new Response.Refused(2000)));
        } finally {
            vertx.close();
        }
    }

    private static Request request(
            String tenant,
            String requestClass,
            String plan,
            double units,
            double waitMs,
            String key,
            int gateways,
            int firstGateway) {
        return new Request(ID, tenant, requestClass, plan, units, waitMs, key, false, gateways, firstGateway, null);
    }

    private interface InvalidCall {
        void run() throws InvalidRequestException;
    }

    private static String rejection(InvalidCall call) {
        return expectThrows(InvalidRequestException.class, call::run).getMessage();
    }

    private static <T> void runOnEventLoop(Vertx vertx, Supplier<T> work) throws Exception {
        CompletableFuture<T> done = new CompletableFuture<>();
        vertx.runOnContext(run -> {
            try {
                done.complete(work.get());
            } catch (Throwable e) {
                done.completeExceptionally(e);
            }
        });
        done.get(20, TimeUnit.SECONDS);
    }

    private static final class UnresponsiveTransport extends NoOpBackendTransport {
        @Override
        public Attempt startAttempt(Backend backend, Request request, double waitMs, AttemptListener ended) {
            return () -> {};
        }
    }
}
