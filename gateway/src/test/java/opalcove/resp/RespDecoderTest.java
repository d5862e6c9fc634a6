package opalcove.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.PooledByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Checks that decoded values do not depend on how the network splits the bytes, and that every buffer is released. */
class RespDecoderTest {
    private static final int MAX_ITEMS = 8;

    /** Adds a description of each value or error that it is notified of. */
    private static class DescribingListener implements RespListener {
        final List<String> decoded = new ArrayList<>();

        @Override
        public void valueDecoded(RespDecoder value) {
            if (value.hasSkippedString()) {
                decoded.add("skipped");
                return;
            }
            StringBuilder text = new StringBuilder().append((char) value.type());
            for (int i = 0; i < value.itemCount(); i++) {
                text.append(' ').append(value.length(i) < 0 ? "null" : value.text(i));
            }
            decoded.add(text.toString());
        }

        @Override
        public void decodingFailed(String reason) {
            decoded.add("error: " + reason);
        }
    }

    /** Makes strings wait for memory, in a random order of decisions. */
    private static final class WaitingListener extends DescribingListener {
        private final Random random;

        WaitingListener(long seed) {
            random = new Random(seed);
        }

        @Override
        public boolean reservesShortString(RespDecoder value) {
            return random.nextBoolean();
        }

        @Override
        public MemoryDecision reserveMemory(RespDecoder value, int length) {
            return random.nextBoolean() ? MemoryDecision.WAIT : MemoryDecision.RESERVED;
        }
    }

    /** Stops behind some of the values, in a random order. */
    private static final class PausingListener extends DescribingListener {
        private final Random random;

        PausingListener(long seed) {
            random = new Random(seed);
        }

        @Override
        public void valueDecoded(RespDecoder value) {
            super.valueDecoded(value);
            if (random.nextBoolean()) {
                value.pause();
            }
        }
    }

    private static ByteBuf buffer(String text) {
        return PooledByteBufAllocator.DEFAULT
                .directBuffer(Math.max(1, text.length()))
                .writeBytes(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Decodes the parts and returns a description of each value or error that the listener was notified of. */
    private static List<String> decodeAll(List<String> parts) {
        DescribingListener listener = new DescribingListener();
        RespDecoder decoder = new RespDecoder(MAX_ITEMS, listener);
        for (String each : parts) {
            ByteBuf bytes = buffer(each);
            decoder.decode(bytes);
            if (!decoder.isMidValue()) {
                assertEquals(0, bytes.refCnt(), "a buffer is retained between values");
            }
        }
        decoder.stop();
        return listener.decoded;
    }

    /** Strings that wait for memory are decoded like all others once they have it, wherever the input is split. */
    @Property(tries = 300, seed = "9")
    void decodesSameValuesWhenStringsWaitForMemory(
            @ForAll("streams") String stream, @ForAll("partLengths") List<Integer> partLengths, @ForAll long seed) {
        WaitingListener listener = new WaitingListener(seed);
        RespDecoder decoder = new RespDecoder(MAX_ITEMS, listener);
        for (String each : split(stream, partLengths)) {
            decoder.decode(buffer(each));
            while (decoder.isBlocked()) {
                decoder.continueDecoding();
            }
        }
        decoder.stop();
        assertEquals(decodeAll(List.of(stream)), listener.decoded);
    }

    /** Guards commands behind a pause against being lost, repeated or decoded before it ends. */
    @Property(tries = 300, seed = "11")
    void decodesSameValuesWhenDecodingPausesBehindValues(
            @ForAll("partLengths") List<Integer> partLengths, @ForAll long seed) {
        String input = "*1\r\n$4\r\nPING\r\n+line\r\n".repeat(40) + "$3\r\nend\r\n";
        DescribingListener expected = new DescribingListener();
        new RespDecoder(MAX_ITEMS, expected).decode(buffer(input));
        PausingListener pausing = new PausingListener(seed);
        RespDecoder decoder = new RespDecoder(MAX_ITEMS, pausing);
        int from = 0;
        for (int i = 0; from < input.length(); i++) {
            int to = Math.min(input.length(), from + partLengths.get(i % partLengths.size()));
            decoder.decode(buffer(input.substring(from, to)));
            while (decoder.isPaused()) {
                int decoded = pausing.decoded.size();
                decoder.resume();
                assertTrue(pausing.decoded.size() > decoded || !decoder.isPaused());
            }
            from = to;
        }
        assertEquals(expected.decoded, pausing.decoded);
        assertEquals(0, decoder.undecodedBytes());
    }

    /** The values behind a dropped string are decoded, wherever the input is split. */
    @Property(tries = 200, seed = "10")
    void decodesValuesBehindSkippedString(@ForAll("partLengths") List<Integer> partLengths) {
        String body = "b".repeat(5000);
        String stream = "*2\r\n$3\r\none\r\n$5000\r\n" + body + "\r\n+two\r\n";
        DescribingListener listener = new DescribingListener() {
            @Override
            public MemoryDecision reserveMemory(RespDecoder value, int length) {
                return MemoryDecision.WAIT;
            }
        };
        RespDecoder decoder = new RespDecoder(MAX_ITEMS, listener);
        for (String each : split(stream, partLengths)) {
            decoder.decode(buffer(each));
            if (decoder.isBlocked()) {
                decoder.skipString();
            }
        }
        assertFalse(decoder.isMidValue());
        assertEquals(List.of("skipped", "+ two"), listener.decoded);
    }

    private static List<String> split(String stream, List<Integer> partLengths) {
        List<String> parts = new ArrayList<>();
        int from = 0;
        for (int i = 0; from < stream.length(); i++) {
            int to = Math.min(stream.length(), from + partLengths.get(i % partLengths.size()));
            parts.add(stream.substring(from, to));
            from = to;
        }
        return parts;
    }

    @Property(tries = 300, seed = "7")
    void decodesSameValuesHoweverInputIsSplit(
            @ForAll("streams") String stream, @ForAll("partLengths") List<Integer> partLengths) {
        assertEquals(decodeAll(List.of(stream)), decodeAll(split(stream, partLengths)));
    }

    @Provide
    Arbitrary<List<Integer>> partLengths() {
        return Arbitraries.integers().between(1, 40).list().ofMinSize(1).ofMaxSize(30);
    }

    /** Streams of values of every type, sometimes with invalid input. */
    @Provide
    Arbitrary<String> streams() {
        Arbitrary<String> text =
                Arbitraries.strings().withChars('a', 'b', '\r', '$', '*', '7').ofMaxLength(30);
        Arbitrary<String> string = text.map(each -> "$" + each.length() + "\r\n" + each + "\r\n");
        Arbitrary<String> line =
                Arbitraries.of("+OK\r\n", "-ERR failed used=3\r\n", ":7\r\n", "$-1\r\n", "*0\r\n", "*-1\r\n");
        Arbitrary<String> item =
                Arbitraries.frequencyOf(net.jqwik.api.Tuple.of(4, string), net.jqwik.api.Tuple.of(1, line));
        Arbitrary<String> array = item.list()
                .ofMinSize(1)
                .ofMaxSize(MAX_ITEMS)
                .map(each -> "*" + each.size() + "\r\n" + String.join("", each));
        Arbitrary<String> nested = Combinators.combine(array, item).as((inner, last) -> "*2\r\n" + inner + last);
        Arbitrary<String> invalid = Arbitraries.of(
                "GET /\r\n",
                "$3\r\nlong\r\n",
                "$70000\r\n",
                "*9\r\n",
                "\r\n",
                "*1\r\n*1\r\n*1\r\n*1\r\n",
                "$x\r\n",
                "+" + "y".repeat(5000) + "\r\n",
                "$-2\r\n",
                "*\r\n");
        return Arbitraries.frequencyOf(
                        net.jqwik.api.Tuple.of(8, array),
                        net.jqwik.api.Tuple.of(2, line),
                        net.jqwik.api.Tuple.of(2, nested),
                        net.jqwik.api.Tuple.of(1, invalid))
                .list()
                .ofMaxSize(12)
                .map(each -> String.join("", each));
    }

    /** A string of exactly the maximum length that is split at every kilobyte is decoded once. */
    @Example
    void decodesLargestStringFromManyParts() {
        String value = "v".repeat(RespDecoder.MAX_STRING_BYTES);
        String input = "*2\r\n$" + value.length() + "\r\n" + value + "\r\n$3\r\nend\r\n+next\r\n";
        List<String> parts = new ArrayList<>();
        for (int from = 0; from < input.length(); from += 1024) {
            parts.add(input.substring(from, Math.min(input.length(), from + 1024)));
        }
        assertEquals(List.of("* " + value + " end", "+ next"), decodeAll(parts));
    }

    /** The listener stops the decoder in the middle of a buffer with several values. */
    @Example
    void decodesNothingAfterStop() {
        List<String> decoded = new ArrayList<>();
        RespDecoder[] decoder = new RespDecoder[1];
        decoder[0] = new RespDecoder(MAX_ITEMS, new RespListener() {
            @Override
            public void valueDecoded(RespDecoder value) {
                decoded.add(value.text(0));
                decoder[0].stop();
            }

            @Override
            public void decodingFailed(String reason) {
                decoded.add(reason);
            }
        });
        ByteBuf bytes = PooledByteBufAllocator.DEFAULT
                .directBuffer(64)
                .writeBytes("+one\r\n+two\r\nnonsense".getBytes(StandardCharsets.US_ASCII));
        decoder[0].decode(bytes);
        assertEquals(List.of("one"), decoded);
        assertEquals(0, bytes.refCnt());
    }

    /** If the listener throws for a value, that value is not delivered again and the next one is not lost. */
    @Example
    void deliversEachValueOnceWhenListenerThrows() {
        List<String> decoded = new ArrayList<>();
        RespDecoder decoder = new RespDecoder(MAX_ITEMS, new RespListener() {
            @Override
            public void valueDecoded(RespDecoder value) {
                decoded.add(value.text(0));
                if (decoded.size() == 1) {
                    throw new IllegalStateException("a listener failed");
                }
            }

            @Override
            public void decodingFailed(String reason) {
                decoded.add(reason);
            }
        });
        byte[] input = "+one\r\n+two\r\n".getBytes(StandardCharsets.US_ASCII);
        assertThrows(
                IllegalStateException.class,
                () -> decoder.decode(
                        PooledByteBufAllocator.DEFAULT.directBuffer(64).writeBytes(input)));
        decoder.decode(PooledByteBufAllocator.DEFAULT
                .directBuffer(64)
                .writeBytes("+three\r\n".getBytes(StandardCharsets.US_ASCII)));
        assertEquals(List.of("one", "two", "three"), decoded);
        decoder.stop();
    }
}
