package opalcove.laboratory;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** A terminal's side of RESP2: answers come in the order of the asks. */
final class RespWire extends ByteToMessageDecoder implements Load.Wire {
    private static final int MAX_OUT = 1 << 16;

    private final RequestGenerator requests;
    private final Load.Answers answers;
    private final byte[] body;
    private final long[] startedAt = new long[MAX_OUT];
    private final Load.Answer[] came = new Load.Answer[MAX_OUT];
    private final long[] cameStartedAt = new long[MAX_OUT];
    private int out;
    private int answered;
    private int number;

    private RespWire(RequestGenerator requests, Load.Answers answers) {
        this.requests = requests;
        this.answers = answers;
        body = requests.body();
    }

    static void open(
            Channel channel, RequestGenerator requests, Load.Answers answers, CompletableFuture<Load.Wire> ready) {
        RespWire wire = new RespWire(requests, answers);
        channel.pipeline().addLast(wire);
        ready.complete(wire);
    }

    @Override
    public void request(Channel channel, long n, long started) {
        startedAt[out++ & MAX_OUT - 1] = started;
        boolean record = requests.record(n);
        String parameters = (record ? "c=swap-record,k=" + requests.key(n) : "c=slot-status") + ",t="
                + requests.proposedPlan(n) + ",d=" + requests.waitMs() + ",units=1,spread=1,first=0";
        ByteBuf bytes = channel.alloc().directBuffer(160 + (record ? body.length : 0));
        ByteBufUtil.writeAscii(
                bytes, record ? "*5\r\n$10\r\nSVC.SUBMIT\r\n$16\r\n" : "*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n");
        ByteBufUtil.writeAscii(
                bytes,
                requests.tenant(n) + "\r\n$16\r\n" + requests.id(n) + "\r\n$" + parameters.length() + "\r\n"
                        + parameters + "\r\n");
        if (record) {
            ByteBufUtil.writeAscii(bytes, "$" + body.length + "\r\n");
            bytes.writeBytes(body);
            ByteBufUtil.writeAscii(bytes, "\r\n");
        }
        channel.write(bytes);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> found) {
        int start = in.readerIndex();
        char kind = (char) in.getByte(start);
        if (kind == '*') {
            // A node's own answer, which a bare relay passes on.
            if (BackendEmulator.skipCommand(in)) {
                came(Load.Answer.SERVED);
            }
        } else if (kind == '$') {
            int length = BackendEmulator.number(in, '$');
            if (length < 0 || in.readableBytes() < length + 2) {
                in.readerIndex(start);
                return;
            }
            in.skipBytes(length + 2);
            came(Load.Answer.SERVED);
        } else {
            int end = in.indexOf(start, in.writerIndex(), (byte) '\n');
            if (end >= 0) {
                boolean busy = in.toString(start, Math.min(5, end - start), StandardCharsets.US_ASCII)
                        .equals("-BUSY");
                in.readerIndex(end + 1);
                came(busy ? Load.Answer.REFUSED : Load.Answer.FAILED);
            }
        }
    }

    private void came(Load.Answer answer) {
        came[number] = answer;
        cameStartedAt[number++] = startedAt[answered++ & MAX_OUT - 1];
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
        super.channelReadComplete(context);
        if (number > 0) {
            int all = number;
            number = 0;
            answers.take(context.channel(), came, cameStartedAt, all);
        }
    }
}
