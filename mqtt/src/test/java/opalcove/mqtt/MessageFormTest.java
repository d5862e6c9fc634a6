package opalcove.mqtt;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.mqtt.MqttProperties;
import io.netty.handler.codec.mqtt.MqttProperties.IntegerProperty;
import io.netty.handler.codec.mqtt.MqttProperties.UserProperty;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import opalcove.TestSettings;
import opalcove.backend.ConnectionPool;
import opalcove.config.Clock;
import opalcove.core.AttemptResult;
import opalcove.core.InvalidRequestException;
import opalcove.core.Request;
import opalcove.core.RequestDispatcher;
import opalcove.core.RequestValidator;
import opalcove.core.Response;
import opalcove.decision.AttemptStatus;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the properties and payloads of requests and responses, and the reasons of invalid requests, as literal text. */
public class MessageFormTest {
    private Vertx vertx;
    private RequestValidator validator;

    @BeforeClass
    public void start() throws Exception {
        vertx = Vertx.vertx();
        CompletableFuture<RequestValidator> ready = new CompletableFuture<>();
        vertx.runOnContext(start -> ready.complete(new RequestDispatcher(
                        vertx,
                        new Clock(),
                        TestSettings.settings(),
                        7,
                        new ConnectionPool(
                                vertx, TestSettings.settings(), address -> Future.failedFuture("no backend here"), 1))
                .requestValidator()));
        validator = ready.get(20, TimeUnit.SECONDS);
    }

    @AfterClass
    public void stop() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    private static MqttProperties parse(String text) {
        MqttProperties properties = new MqttProperties();
        for (String each : text.isBlank() ? new String[0] : text.split(" ")) {
            int equals = each.indexOf('=');
            if (each.startsWith("expiry=")) {
                properties.add(new IntegerProperty(
                        MqttProperties.PUBLICATION_EXPIRY_INTERVAL,
                        Integer.parseUnsignedInt(each.substring(equals + 1))));
            } else {
                properties.add(new UserProperty(each.substring(0, equals), each.substring(equals + 1)));
            }
        }
        return properties;
    }

    /** Returns the properties as text in their order: {@code id=value}, or {@code name=value} for a user property. */
    private static String format(MqttProperties properties) {
        StringBuilder text = new StringBuilder();
        for (MqttProperties.MqttProperty<?> each : properties.listAll()) {
            if (each.propertyId() == MqttProperties.USER_PROPERTY) {
                for (Object pair : (Iterable<?>) each.value()) {
                    text.append(((MqttProperties.StringPair) pair).key)
                            .append('=')
                            .append(((MqttProperties.StringPair) pair).value)
                            .append(' ');
                }
            } else {
                Object value = each.value() instanceof byte[] bytes
                        ? new String(bytes, StandardCharsets.US_ASCII)
                        : each.value();
                text.append(each.propertyId()).append('=').append(value).append(' ');
            }
        }
        return text.toString().strip();
    }

    private Request request(String requestClass, String properties, String body) throws InvalidRequestException {
        return RequestMessage.read(
                validator, "0123456789abcdef", "opalcove/ask/" + requestClass, parse(properties), Buffer.buffer(body));
    }

    private static final String PARAMETERS =
            "operator=00000000b4d65521 plan=start units=2 entry-points=1 first-entry=0";

    @Test
    public void forwardsRequestWithItsProperties() throws Exception {
        assertEquals(
                format(RequestMessage.properties(
                        request("swap-record", PARAMETERS + " key=5c0f retry=1", "x"), 3001, "back")),
                "8=back 9=0123456789abcdef 2=4 operator=00000000b4d65521 plan=start units=2 entry-points=1 first-entry=0"
                        + " key=5c0f retry=1");
        assertEquals(
                format(RequestMessage.properties(request("slot-status", PARAMETERS, ""), 0, "back")),
                "8=back 9=0123456789abcdef 2=1 operator=00000000b4d65521 plan=start units=2 entry-points=1 first-entry=0");
    }

    @Test
    public void usesShorterOfExpiryAndClassDeadlineAsTimeout() throws Exception {
        assertEquals(request("slot-status", PARAMETERS, "").timeoutMs(), 4000.0);
        assertEquals(request("slot-status", PARAMETERS + " expiry=3", "").timeoutMs(), 3000.0);
        assertEquals(
                request("slot-status", PARAMETERS + " expiry=4294967295", "").timeoutMs(), 4000.0);
    }

    @DataProvider
    public Object[][] invalidRequests() {
        return new Object[][] {
            {"odd", PARAMETERS, "", "unknown class"},
            {"slot-status", PARAMETERS, "x", "slot-status carries no body"},
            {"slot-status", PARAMETERS + " expiry=0", "", "expired"},
            {"slot-status", PARAMETERS.replace("start", "odd"), "", "unknown plan"},
            {"slot-status", PARAMETERS.replace("plan=start", "x=y"), "", "plan is missing"},
            {"slot-status", PARAMETERS.replace("operator=00000000b4d65521", "x=y"), "", "operator is missing"},
            {"slot-status", PARAMETERS.replace("units=2", "units=x"), "", "units is not a number in range"},
            {"slot-status", PARAMETERS.replace("units=2", "units=9"), "", "the units are out of range"},
            {
                "slot-status",
                PARAMETERS.replace("entry-points=1", "entry-points=0"),
                "",
                "the operator's gateways are out of range"
            },
            {
                "slot-status",
                PARAMETERS.replace("first-entry=0", "first-entry=1"),
                "",
                "the operator's gateways are out of range"
            },
            {"swap-record", PARAMETERS, "x", "key is missing"},
            {"swap-record", PARAMETERS + " key=a,b", "x", "the key cannot be passed on"},
            {"swap-record", PARAMETERS + " key=k", "x".repeat(65_537), "the body is larger than 65536 bytes"},
        };
    }

    @Test(dataProvider = "invalidRequests")
    public void rejectsInvalidRequestWithReason(String requestClass, String properties, String body, String reason) {
        assertEquals(
                expectThrows(InvalidRequestException.class, () -> request(requestClass, properties, body))
                        .getMessage(),
                reason);
    }

    @Test
    public void derivesRequestIdFromClientIdAndCorrelationData() {
        assertEquals(RequestMessage.id("rack-7", "c1".getBytes(StandardCharsets.US_ASCII)), "cf868f049e4a937e");
    }

    @Test
    public void writesStatusAndPayloadOfEachKindOfResponse() {
        byte[] correlation = "c1".getBytes(StandardCharsets.US_ASCII);
        ByteBuf value = Unpooled.copiedBuffer("done", StandardCharsets.US_ASCII);
        ResponseMessage served = ResponseMessage.of(new Response.Served(value), correlation);
        assertEquals(format(served.properties()), "9=c1 status=served");
        assertEquals(served.payload().toString(), "done");
        ResponseMessage refused = ResponseMessage.of(new Response.Refused(250), correlation);
        assertEquals(format(refused.properties()), "9=c1 status=refused retry-after-ms=250");
        assertEquals(refused.payload().length(), 0);
        assertEquals(
                format(ResponseMessage.of(new Response.Refused(0), correlation).properties()), "9=c1 status=refused");
        ResponseMessage failed = ResponseMessage.of(new Response.Failed("late"), correlation);
        assertEquals(format(failed.properties()), "9=c1 status=failed reason=late");
        assertEquals(failed.payload().length(), 0);
    }

    @DataProvider
    public Object[][] backendResponses() {
        return new Object[][] {
            {"status=served used=37 cost=4 svc_ms=14.5", AttemptStatus.SERVED, "37 4.0 [14.5]"},
            {"status=served", AttemptStatus.SERVED, "-1 0.0 null"},
            {"status=refused used=3", AttemptStatus.REJECTED, "3 0.0 null"},
            {"status=failed cost=1.5", AttemptStatus.ERROR, "-1 1.5 null"},
            {"status=odd", AttemptStatus.ERROR, "-1 0.0 null"},
            {"", AttemptStatus.ERROR, "-1 0.0 null"},
            {"status=served used=x cost=y svc_ms=z", AttemptStatus.SERVED, "-1 0.0 [0.0]"},
            {"status=served queue=3", AttemptStatus.SERVED, "-1 0.0 null"},
        };
    }

    @Test(dataProvider = "backendResponses")
    public void readsAttemptResultFromBackendResponse(
            String properties, AttemptStatus expectedStatus, String expectedReport) {
        AttemptResult result = ResponseMessage.read(
                parse(properties),
                Unpooled.EMPTY_BUFFER,
                TestSettings.settings().loadMetrics());
        assertEquals(result.status(), expectedStatus);
        assertEquals(
                result.quotaUsedPercent() + " " + result.actualUnits() + " " + Arrays.toString(result.loadReport()),
                expectedReport);
        assertEquals(result.value() != null, expectedStatus == AttemptStatus.SERVED);
    }
}
