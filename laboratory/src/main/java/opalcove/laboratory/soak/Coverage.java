package opalcove.laboratory.soak;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Counts which faults have been injected, and which pairs of them have overlapped in time. Thread-safe. */
public final class Coverage {
    /** If more pairs than this have never overlapped, they are counted but not listed. */
    private static final int MAX_NAMED = 250;

    private final Map<FaultType, Integer> injected = new EnumMap<>(FaultType.class);
    private final Map<String, Integer> overlapped = new TreeMap<>();

    /** Adds the faults that were actually injected in one run. */
    public synchronized void add(List<Fault> faults) {
        for (Fault first : faults) {
            injected.merge(first.kind(), 1, Integer::sum);
            for (Fault second : faults) {
                if (first.number() < second.number() && first.overlaps(second)) {
                    overlapped.merge(pair(first.kind(), second.kind()), 1, Integer::sum);
                }
            }
        }
    }

    private static String pair(FaultType first, FaultType second) {
        boolean inOrder = first.ordinal() <= second.ordinal();
        return inOrder ? first + " with " + second : second + " with " + first;
    }

    /** Returns how often each type was injected, and the pairs that have never overlapped. */
    public synchronized String text() {
        StringBuilder text = new StringBuilder("faults injected:");
        for (FaultType kind : FaultType.values()) {
            text.append(' ').append(kind).append('=').append(injected.getOrDefault(kind, 0));
        }
        List<String> missing = new ArrayList<>();
        int all = 0;
        FaultType[] kinds = FaultType.values();
        for (int i = 0; i < kinds.length; i++) {
            for (int j = i; j < kinds.length; j++) {
                all++;
                if (!overlapped.containsKey(pair(kinds[i], kinds[j]))) {
                    missing.add(pair(kinds[i], kinds[j]));
                }
            }
        }
        text.append("\npairs that overlapped in time: ")
                .append(all - missing.size())
                .append(" of ")
                .append(all);
        if (!missing.isEmpty() && missing.size() <= MAX_NAMED) {
            text.append("\nnever overlapped: ").append(String.join(", ", missing));
        }
        return text.append('\n').toString();
    }
}
