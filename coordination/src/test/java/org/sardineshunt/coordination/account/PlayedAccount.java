package org.sardineshunt.coordination.account;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.LongPredicate;
import java.util.stream.IntStream;

import org.sardineshunt.coordination.TimerService;

/**
 * Plays the requests of one account at several nodes in simulated time, with messages that take 2 to 40 ms and faults
 * that the nodes notice after a while. Deterministic by seed. Not thread-safe.
 */
final class PlayedAccount {
    private static final long LOSS_DETECTION_MILLIS = 1_000;
    private static final long RECOVERY_DETECTION_MILLIS = 300;

    final List<Long> admittedAtMillis = new ArrayList<>();
    final List<AccountAdmission.Decision> refusals = new ArrayList<>();
    int messages;
    int waited;
    private final Random random;
    private final LimitBounds bounds;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::millis).thenComparingInt(Event::order));
    private final List<Node> nodes;
    private ClientAccount account;
    private long nowMillis;
    private int lastOrder;

    PlayedAccount(long seed, int size, LimitBounds bounds, ClientAccount account) {
        random = new Random(seed);
        this.bounds = bounds;
        this.account = account;
        nodes = IntStream.range(0, size).mapToObj(Node::new).toList();
        nodes.forEach(Node::restart);
    }

    void at(long millis, Runnable action) {
        schedule(millis, null, action);
    }

    void setAccount(ClientAccount newAccount) {
        account = newAccount;
    }

    /** Sends requests at random times and, on average, at this rate to the given nodes, those that a caller may send. */
    void sendAtRandom(long fromMillis, long untilMillis, double perSecond, LongPredicate maySend, int... targets) {
        double millis = fromMillis;
        while (true) {
            millis -= Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
            if (millis >= untilMillis) {
                return;
            }
            Node node = nodes.get(targets[random.nextInt(targets.length)]);
            if (maySend.test((long) millis)) {
                at((long) millis, node::receiveRequest);
            }
        }
    }

    /** Puts the nodes into parts of a partition; nodes of one part reach each other. */
    void partition(int... parts) {
        IntStream.range(0, parts.length).forEach(index -> nodes.get(index).move(parts[index]));
    }

    void crash(int index, long durationMillis) {
        Node node = nodes.get(index);
        node.epoch++;
        node.stop(durationMillis, node::restart);
    }

    void suspend(int index, long durationMillis) {
        Node node = nodes.get(index);
        node.suspendedUntilMillis = nowMillis + durationMillis;
        node.stop(durationMillis, () -> {});
    }

    void play(long untilMillis) {
        while (!events.isEmpty() && events.peek().millis() <= untilMillis) {
            Event event = events.poll();
            nowMillis = Math.max(nowMillis, event.millis());
            Node node = event.node();
            if (node != null && node.suspendedUntilMillis > nowMillis) {
                schedule(node.suspendedUntilMillis, node, event.action());
            } else if (node == null || node.epoch == event.epoch()) {
                event.action().run();
            }
        }
    }

    private void schedule(long millis, Node node, Runnable action) {
        events.add(new Event(millis, ++lastOrder, node, node == null ? 0 : node.epoch, action));
    }

    private ClockReading clock() {
        return new ClockReading(nowMillis, nowMillis);
    }

    private record Event(long millis, int order, Node node, int epoch, Runnable action) {}

    /** A node, as the engine composes it. */
    private final class Node implements TimerService, AccountAdmission.TokenSource {
        private final int index;
        private int part;
        private int knownPart;
        private boolean running = true;
        private int epoch;
        private long suspendedUntilMillis;
        private AccountAdmission admission;
        private TokenBucketOwner owner;
        private AccountOwnership ownership;

        Node(int index) {
            this.index = index;
        }

        void restart() {
            running = true;
            admission = new AccountAdmission(this, PlayedAccount.this::clock, this);
            owner = new TokenBucketOwner(nowMillis, bounds);
            ownership = new AccountOwnership(String.valueOf(index));
            ownership.setCandidates(nodes.stream().map(Node::id).toList());
            every(TokenBucketOwner.TICK_PERIOD_MILLIS, () -> owner.tick(nowMillis));
        }

        String id() {
            return String.valueOf(index);
        }

        void receiveRequest() {
            if (running && suspendedUntilMillis <= nowMillis) {
                long receivedMillis = nowMillis;
                admission.admit(account, decision -> decision.refusal()
                        .ifPresentOrElse(reason -> refusals.add(decision), () -> {
                            admittedAtMillis.add(nowMillis);
                            waited += nowMillis > receivedMillis ? 1 : 0;
                        }));
            }
        }

        // A stopped node is in a part of its own; the others notice it like a partition.
        void stop(long durationMillis, Runnable onEnd) {
            running = false;
            int previousPart = part;
            move(-1 - index);
            at(nowMillis + durationMillis, () -> {
                running = true;
                onEnd.run();
                move(previousPart);
            });
        }

        void move(int newPart) {
            long delayMillis = newPart < 0 || newPart > 0 ? LOSS_DETECTION_MILLIS : RECOVERY_DETECTION_MILLIS;
            part = newPart;
            at(nowMillis + delayMillis, () -> {
                knownPart = newPart;
                nodes.forEach(node -> node.owner.keepOnly(name -> node.isLocal(name)));
            });
        }

        @Override
        public boolean isLocal(String name) {
            return ownership.owner(name, this::reaches).equals(id());
        }

        @Override
        public void request(ClientAccount asked, int tokens, Consumer<Optional<TokenGrant>> onAnswer) {
            handle(ownership.owner(asked.name(), this::reaches), tokens, onAnswer);
        }

        private void handle(String ownerId, int tokens, Consumer<Optional<TokenGrant>> onAnswer) {
            if (ownerId.equals(id())) {
                double share = nodes.stream().filter(node -> reaches(node.id())).count() / (double) nodes.size();
                onAnswer.accept(Optional.of(owner.grant(nowMillis, account, share, tokens)));
                return;
            }
            Node target = nodes.get(Integer.parseInt(ownerId));
            messages++;
            send(target, () -> target.ownership
                    .ownerFor(id(), account.name(), target::reaches)
                    .ifPresent(next ->
                            target.handle(next, tokens, answer -> target.send(this, () -> onAnswer.accept(answer)))));
        }

        private void send(Node target, Runnable action) {
            schedule(nowMillis + 2 + random.nextInt(39), target, () -> {
                if (target.part == part) {
                    action.run();
                }
            });
        }

        private boolean reaches(String id) {
            return nodes.get(Integer.parseInt(id)).knownPart == knownPart;
        }

        @Override
        public long nowMillis() {
            return nowMillis;
        }

        @Override
        public Timer every(long periodMillis, Runnable action) {
            return after(periodMillis, () -> {
                action.run();
                every(periodMillis, action);
            });
        }

        @Override
        public Timer after(long delayMillis, Runnable action) {
            boolean[] cancelled = new boolean[1];
            schedule(nowMillis + delayMillis, this, () -> {
                if (!cancelled[0]) {
                    action.run();
                }
            });
            return () -> cancelled[0] = true;
        }
    }

    /** Returns the most requests that were admitted within any window of this length. */
    int maximumInWindow(long windowMillis) {
        long[] times =
                admittedAtMillis.stream().mapToLong(Long::longValue).sorted().toArray();
        return IntStream.range(0, times.length)
                .map(last -> {
                    int first = Arrays.binarySearch(times, times[last] - windowMillis + 1);
                    int start = first < 0 ? -first - 1 : first;
                    while (start > 0 && times[start - 1] > times[last] - windowMillis) {
                        start--;
                    }
                    return last - start + 1;
                })
                .max()
                .orElse(0);
    }
}
