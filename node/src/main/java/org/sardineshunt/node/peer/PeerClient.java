package org.sardineshunt.node.peer;

import java.util.concurrent.CompletableFuture;

import io.vavr.control.Either;
import org.sardineshunt.coordination.membership.Member;
import org.sardineshunt.coordination.membership.MemberTable;
import org.sardineshunt.node.ControlThread;
import org.sardineshunt.protocol.PeerMessages.Envelope;

/** Calls other members. Results are delivered on the control thread; the futures never complete exceptionally. */
public final class PeerClient {
    private final ControlThread control;
    private final PeerLinks links;
    private final MembershipService membership;

    /** Creates a client that uses the shared links of this node. */
    public PeerClient(ControlThread control, PeerLinks links, MembershipService membership) {
        this.control = control;
        this.links = links;
        this.membership = membership;
    }

    /** Returns the member table. */
    public MemberTable table() {
        return membership.table();
    }

    /** Returns the id of this node. */
    public String selfId() {
        return membership.self().nodeId();
    }

    /** Returns the member record of this node. */
    public Member self() {
        return membership.self();
    }

    /**
     * Calls a member over the shared link. A call that times out leaves the link open, as closing it would fail all
     * other calls in flight; a link that broke or was closed for silence is replaced.
     */
    public CompletableFuture<Either<LinkFailure, Envelope>> call(Member member, Envelope message, long timeoutMillis) {
        return onControl(links.call(member.nodeId(), member.endpoint(), message, timeoutMillis));
    }

    private CompletableFuture<Either<LinkFailure, Envelope>> onControl(CompletableFuture<PeerLink.Reply> call) {
        CompletableFuture<Either<LinkFailure, Envelope>> result = new CompletableFuture<>();
        call.whenComplete((reply, failure) -> control.execute(() -> {
            if (failure == null) {
                result.complete(Either.right(reply.envelope()));
            } else {
                result.complete(Either.left(LinkFailure.of(failure)));
            }
        }));
        return result;
    }
}
