package org.sardineshunt.coordination.account;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import org.sardineshunt.coordination.RendezvousHashing;

/**
 * Decides which node owns a client account: the first one in rendezvous order that the asking node reaches. A node that
 * is asked for tokens passes the request on if it reaches an earlier one, so that a single lost link makes no second
 * owner. Each such step leads to an earlier node, so there is no loop. Not thread-safe.
 */
public final class AccountOwnership {
    private final String ownId;
    private final Map<String, List<String>> orders = new HashMap<>();
    private List<String> candidates = List.of();

    /** Creates an ownership with this node as the only candidate. */
    public AccountOwnership(String ownId) {
        this.ownId = ownId;
    }

    /** Sets the nodes that may own accounts. */
    public void setCandidates(List<String> nodeIds) {
        if (!candidates.equals(nodeIds)) {
            candidates = List.copyOf(nodeIds);
            orders.clear();
        }
    }

    /**
     * Returns the node to ask for tokens of an account, maybe this one.
     *
     * @param isReachable whether another node is reachable
     */
    public String owner(String account, Predicate<String> isReachable) {
        return order(account).stream()
                .filter(node -> node.equals(ownId) || isReachable.test(node))
                .findFirst()
                .orElse(ownId);
    }

    /**
     * Returns the node that must handle a request for tokens which another node sent to this one; empty if the sender
     * itself or a later node would, so that this one can't help.
     */
    public Optional<String> ownerFor(String sender, String account, Predicate<String> isReachable) {
        List<String> order = order(account);
        String owner = owner(account, isReachable);
        int senderIndex = order.indexOf(sender);
        boolean earlier = senderIndex < 0 || order.indexOf(owner) < senderIndex;
        return earlier ? Optional.of(owner) : Optional.empty();
    }

    /** Returns the nodes that go before this one for an account, in order. */
    public List<String> earlierNodes(String account) {
        return order(account).stream().takeWhile(node -> !node.equals(ownId)).toList();
    }

    private List<String> order(String account) {
        return orders.computeIfAbsent(account, name -> RendezvousHashing.choose(name, candidates, candidates.size()));
    }
}
