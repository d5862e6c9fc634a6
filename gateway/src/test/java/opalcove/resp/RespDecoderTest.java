package opalcove.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.PooledByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
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

    /** Decodes the parts and returns a description of each value or error that the listener was notified of. */
    private static List<String> decodeAll(List<String> parts) {
        List<String> decoded = new ArrayList<>();
        RespDecoder decoder = new RespDecoder(MAX_ITEMS, new RespListener() {
            @Override
            public void valueDecoded(RespDecoder value) {
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
        });
        for (String each : parts) {
            ByteBuf bytes = PooledByteBufAllocator.DEFAULT
                    .directBuffer(Math.max(1, each.length()))
                    .writeBytes(each.getBytes(StandardCharsets.ISO_8859_1));
            decoder.decode(bytes);
            if (!decoder.isMidValue()) {
                assertEquals(0, bytes.refCnt(), "a buffer is retained between values");
            }
        }
        decoder.stop();
        return decoded;
    }

    @Property(tries = 300, seed = "7")
    void decodesSameValuesHoweverInputIsSplit(
            @ForAll("streams") String stream, @ForAll("partLengths") List<Integer> partLengths) {
        List<String> parts = new ArrayList<>();
        int from = 0;
        for (int i = 0; from < stream.length(); i++) {
            int to = Math.min(stream.length(), from + partLengths.get(i % partLengths.size()));
            parts.add(stream.substring(from, to));
            from = to;
        }
        assertEquals(decodeAll(List.of(stream)), decodeAll(parts));
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
