package opalcove.laboratory;

import static org.testng.Assert.assertEquals;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

public class CostRegressionTest {
    /** The build's guard. Where more is wanted on purpose: opalcove guard --write laboratory/baseline.json */
    @Test
    public void noCountOfAnAskHasGrown() throws Exception {
        JsonObject baseline = Json.parse(Files.readString(Path.of("laboratory/baseline.json")))
                .asObject();
        assertEquals(String.join("\n", CostRegressionCheck.grown(baseline, CostRegressionCheck.count(line -> {}))), "");
    }

    @Test
    public void aGrowthOfMoreThanATwentiethIsTold() {
        JsonObject baseline = Json.parse("{\"a\":{\"reads\":2,\"copied bytes\":0,\"objects\":40}}")
                .asObject();
        assertEquals(
                CostRegressionCheck.grown(
                        baseline, Map.of("a", Map.of("reads", 2.09, "copied bytes", 0.01, "objects", 41.9))),
                List.of());
        assertEquals(
                CostRegressionCheck.grown(baseline, Map.of("a", Map.of("reads", 2.2))),
                List.of("a: reads grew from 2.000 to 2.200 an ask, by 10.0%"));
        assertEquals(
                CostRegressionCheck.grown(baseline, Map.of("a", Map.of("copied bytes", 16.0))),
                List.of("a: copied bytes grew from 0.000 to 16.000 an ask, by 100.0%"));
        assertEquals(
                CostRegressionCheck.grown(baseline, Map.of("b", Map.of("reads", 1.0))),
                List.of("b: reads is not in the baseline"));
    }
}
