package org.sardineshunt.node.peer;

import java.util.concurrent.CompletableFuture;

import org.sardineshunt.coordination.membership.Member;
import org.sardineshunt.coordination.membership.MemberTable;
import org.sardineshunt.node.ControlThread;
import org.sardineshunt.protocol.PeerMessages.Envelope;

/** Calls to other members whose results come on the control thread. */
public final class PeerCalls {
    private final ControlThread control;
    private final PeerLinks links;
    private final MembershipService membership;

    /** Creates calls over some links. */
    public PeerCalls(ControlThread control, PeerLinks links, MembershipService membership) {
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

    /** Returns the record of this node. */
    public Member self() {
        return membership.self();
    }

    /** Calls a member over the shared link; fails with a {@link LinkFailure}. */
    public CompletableFuture<Envelope> call(Member member, Envelope message, long timeoutMillis) {
        return onControl(links.call(member.nodeId(), member.endpoint(), message, timeoutMillis));
    }

    /** Calls a member over a new connection; fails with a {@link LinkFailure}. */
    public CompletableFuture<Envelope> callOnNewLink(Member member, Envelope message, long timeoutMillis) {
        return onControl(links.callOnNewLink(member.nodeId(), member.endpoint(), message, timeoutMillis));
    }

    private CompletableFuture<Envelope> onControl(CompletableFuture<PeerLink.Reply> call) {
        CompletableFuture<Envelope> result = new CompletableFuture<>();
        call.whenComplete((reply, failure) -> control.execute(() -> {
            if (failure == null) {
                result.complete(reply.envelope());
            } else {
                result.completeExceptionally(unwrap(failure));
            }
        }));
        return result;
    }

    private static Throwable unwrap(Throwable failure) {
        return failure instanceof java.util.concurrent.CompletionException && failure.getCause() != null
                ? failure.getCause()
                : failure;
    }
}
