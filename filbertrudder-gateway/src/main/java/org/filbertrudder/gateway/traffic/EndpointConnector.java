package org.filbertrudder.gateway.traffic;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.util.NetUtil;
import io.vertx.core.Context;
import io.vertx.core.buffer.impl.PartialPooledByteBufAllocator;
import io.vertx.core.impl.ContextInternal;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.function.Consumer;

/**
 * Opens connections to endpoints on the event loop of a context.
 *
 * <p>Most requests need a new connection, as many instances share the endpoints. The client of the
 * networking library takes many more steps to open one.
 */
final class EndpointConnector {

    /** The connect timeout, in milliseconds; it allows for several round trips within a region. */
    private static final int CONNECT_TIMEOUT_MS = 400;

    /**
     * The send buffer of a connection. What it holds counts as written although the endpoint has
     * not received it, so that a large one hides that a response came before the end of its
     * request.
     */
    private static final int SEND_BUFFER_BYTES = 64 * 1024;

    private final ContextInternal mContext;
    private final HttpProtocol mProtocol;
    private final Bootstrap mBootstrap;

    /** Creates a connector; its methods must be called, and run their actions, on the context. */
    EndpointConnector(Context context, HttpProtocol protocol) {
        mContext = (ContextInternal) context;
        mProtocol = protocol;
        mBootstrap =
                new Bootstrap()
                        .group(mContext.nettyEventLoop())
                        .channelFactory(mContext.owner().transport().channelFactory(false))
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                        .option(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                        .option(ChannelOption.ALLOCATOR, PartialPooledByteBufAllocator.INSTANCE)
                        .disableResolver()
                        .handler(new NoHandler());
    }

    /**
     * Passes a new connection to the action, or null if none can be opened.
     *
     * @param onIdleClosed runs when the endpoint closes the connection while it carries no request
     */
    void connect(
            String host,
            int port,
            Consumer<EndpointConnection> onIdleClosed,
            Consumer<EndpointConnection> action) {
        InetSocketAddress address = address(host, port);
        Bootstrap bootstrap =
                address.isUnresolved()
                        ? mBootstrap.clone().resolver(mContext.owner().nettyAddressResolverGroup())
                        : mBootstrap;
        bootstrap
                .connect(address)
                .addListener(
                        (ChannelFuture connecting) ->
                                mContext.dispatch(
                                        connecting,
                                        done -> action.accept(connection(done, onIdleClosed))));
    }

    private EndpointConnection connection(
            ChannelFuture connecting, Consumer<EndpointConnection> onIdleClosed) {
        if (!connecting.isSuccess()) {
            return null;
        }
        Channel channel = connecting.channel();
        return new EndpointConnection(channel, mContext, mProtocol, onIdleClosed);
    }

    /** Returns the address; one with a host name is left to be resolved without blocking. */
    private static InetSocketAddress address(String host, int port) {
        byte[] ip = NetUtil.createByteArrayFromIpAddressString(host);
        try {
            return ip == null
                    ? InetSocketAddress.createUnresolved(host, port)
                    : new InetSocketAddress(InetAddress.getByAddress(ip), port);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("Not an IP address: " + host, e);
        }
    }

    /** The handlers of a connection are added once it is open, before anything is read. */
    @ChannelHandler.Sharable
    private static final class NoHandler extends ChannelInboundHandlerAdapter {}
}
