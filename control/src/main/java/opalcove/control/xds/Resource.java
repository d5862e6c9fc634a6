package opalcove.control.xds;

import com.google.protobuf.Any;
import com.google.protobuf.ByteString;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.Duration;
import com.google.protobuf.Message;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A resource, encoded once for all proxies. Its version depends only on its content, so that all instances of the
 * service compute the same version, also after a restart.
 *
 * @param type its type
 * @param name its name, unique within the type
 * @param version 16 hexadecimal digits
 * @param ttlMs lifetime without renewal, ms; 0: unlimited
 * @param body the encoded message
 */
public record Resource(ResourceType type, String name, String version, long ttlMs, Any body) {
    /**
     * Encodes a message. Maps are encoded in the order of their keys, so that equal content has equal bytes.
     *
     * @param ttlMs lifetime without renewal, ms; 0: unlimited
     */
    public static Resource of(ResourceType type, String name, long ttlMs, Message message) {
        ByteString.Output buffer = ByteString.newOutput(message.getSerializedSize());
        try {
            CodedOutputStream output = CodedOutputStream.newInstance(buffer);
            output.useDeterministicSerialization();
            message.writeTo(output);
            output.flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        ByteString value = buffer.toByteString();
        return new Resource(
                type,
                name,
                digest(type, name, ttlMs, value),
                ttlMs,
                Any.newBuilder().setTypeUrl(type.url()).setValue(value).build());
    }

    private static String digest(ResourceType type, String name, long ttlMs, ByteString value) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update((type.url() + "\n" + name + "\n" + ttlMs + "\n").getBytes(StandardCharsets.UTF_8));
            value.asReadOnlyByteBufferList().forEach(digest::update);
            return HexFormat.of().formatHex(digest.digest(), 0, 8);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns the lifetime as a protocol message. */
    Duration ttl() {
        return Duration.newBuilder()
                .setSeconds(ttlMs / 1000)
                .setNanos((int) (ttlMs % 1000) * 1_000_000)
                .build();
    }

    /** Returns the version as a number; the version of a set of resources is the sum of these numbers. */
    long versionNumber() {
        return Long.parseUnsignedLong(version, 16);
    }
}
