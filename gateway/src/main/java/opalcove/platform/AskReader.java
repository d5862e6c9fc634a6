package opalcove.platform;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import opalcove.decision.Admission;
import opalcove.gateway.Ask;
import opalcove.gateway.AskRules;
import opalcove.gateway.Marks;

/** Turns a terminal's command into an ask, and an ask into the command for an app node. */
final class AskReader {
    private static final String QUERY = "SVC.QUERY";
    private static final String SUBMIT = "SVC.SUBMIT";

    private AskReader() {
    }

    static boolean asks(String command) {
        return command.equals(QUERY) || command.equals(SUBMIT);
    }

    static Ask read(AskRules rules, String command, List<Buffer> words) throws Marks.Unfit {
        boolean submit = command.equals(SUBMIT);
        if (words.size() != (submit ? 5 : 4)) {
            throw new Marks.Unfit("wrong number of words for " + command);
        }
        Map<String, String> values = new HashMap<>();
        for (String mark : words.get(3).toString().split(",")) {
            int equals = mark.indexOf('=');
            if (equals < 1) {
                throw new Marks.Unfit("expected name=value");
            }
            if (values.put(mark.substring(0, equals), mark.substring(equals + 1)) != null) {
                throw new Marks.Unfit("a name comes twice");
            }
        }
        Marks marks = new Marks(values);
        Admission.RequestClass requestClass = rules.requestClass(marks.need("c"));
        if (submit == (requestClass.effect() == Admission.Effect.SAFE)) {
            throw new Marks.Unfit(command + " does not serve " + requestClass.name());
        }
        boolean keyed = requestClass.effect() == Admission.Effect.KEYED;
        return rules.check(new Ask(Marks.hex(words.get(2).toString(), "the id"), words.get(1).toString(),
                requestClass.name(), marks.need("t"), marks.number("units"), marks.number("d"),
                keyed ? marks.need("k") : null, marks.set("r"), marks.whole("spread"), marks.whole("first"),
                submit ? words.get(4) : null));
    }

    /** The command that passes the ask on; waitMs is how long this gateway will wait. */
    static Buffer command(Ask ask, double waitMs) {
        StringBuilder marks = new StringBuilder(96).append("c=").append(ask.requestClass()).append(",t=")
                .append(ask.plan()).append(",d=").append((long) waitMs);
        if (ask.key() != null) {
            marks.append(",k=").append(ask.key());
        }
        if (ask.retry()) {
            marks.append(",r=1");
        }
        marks.append(",units=").append(ask.unitsText()).append(",spread=").append(ask.gateways())
                .append(",first=").append(ask.firstGateway());
        List<Buffer> words = new ArrayList<>(5);
        words.add(Buffer.buffer(ask.body() == null ? QUERY : SUBMIT));
        words.add(Buffer.buffer(ask.operator()));
        words.add(Buffer.buffer(ask.id()));
        words.add(Buffer.buffer(marks.toString()));
        if (ask.body() != null) {
            words.add(ask.body());
        }
        return Resp.command(words);
    }
}
