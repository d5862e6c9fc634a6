package opalcove.laboratory.soak;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Which troubles have been made, and which pairs of them have met in time. Safe on any thread. */
public final class Coverage {
    /** With more pairs than this that never met, they are counted and not named. */
    private static final int MAX_NAMED = 250;

    private final Map<FaultType, Integer> made = new EnumMap<>(FaultType.class);
    private final Map<String, Integer> met = new TreeMap<>();

    /** Takes in the troubles of one run that were really made. */
    public synchronized void add(List<Fault> faults) {
        for (Fault first : faults) {
            made.merge(first.kind(), 1, Integer::sum);
            for (Fault second : faults) {
                if (first.number() < second.number() && first.overlaps(second)) {
                    met.merge(pair(first.kind(), second.kind()), 1, Integer::sum);
                }
            }
        }
    }

    private static String pair(FaultType first, FaultType second) {
        boolean inOrder = first.ordinal() <= second.ordinal();
        return inOrder ? first + " with " + second : second + " with " + first;
    }

    /** The kinds with how often each was made, and the pairs that have never met. */
    public synchronized String text() {
        StringBuilder text = new StringBuilder("troubles made:");
        for (FaultType kind : FaultType.values()) {
            text.append(' ').append(kind).append('=').append(made.getOrDefault(kind, 0));
        }
        List<String> never = new ArrayList<>();
        int all = 0;
        FaultType[] kinds = FaultType.values();
        for (int i = 0; i < kinds.length; i++) {
            for (int j = i; j < kinds.length; j++) {
                all++;
                if (!met.containsKey(pair(kinds[i], kinds[j]))) {
                    never.add(pair(kinds[i], kinds[j]));
                }
            }
        }
        text.append("\npairs that met in time: ")
                .append(all - never.size())
                .append(" of ")
                .append(all);
        if (!never.isEmpty() && never.size() <= MAX_NAMED) {
            text.append("\nnever met: ").append(String.join(", ", never));
        }
        return text.append('\n').toString();
    }
}
