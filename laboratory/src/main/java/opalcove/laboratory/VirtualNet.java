package opalcove.laboratory;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Virtual time and a network in it, for models without sockets: events in their order, and messages that are lost, delayed,
 * repeated and cut by draws of the random numbers given. The same numbers and calls give the same history.
 */
class VirtualNet {
    private record Event(long at, long order, Runnable task) {}

    /** A process in the model: it may stand still, and end. */
    class Process {
        private boolean up = true;
        private long pausedUntil;

        /** Runs once the process runs: what comes while it stands still waits, as in a socket's buffer. */
        void whenAwake(Runnable task) {
            if (!up) {
                return;
            }
            if (now < pausedUntil) {
                at(pausedUntil, () -> whenAwake(task));
                return;
            }
            task.run();
            scheduleTick();
        }

        /** Sees to the process's next timer; called after all that it did. */
        void scheduleTick() {}

        boolean isUp() {
            return up;
        }

        boolean isAwake() {
            return up && now >= pausedUntil;
        }

        void end() {
            up = false;
        }

        void pause(long ms) {
            pausedUntil = now + ms;
        }
    }

    final SplittableRandom random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final MessageFaults faults;
    private long now;
    private long order;

    VirtualNet(long start, SplittableRandom random) {
        now = start;
        this.random = random;
        faults = new MessageFaults(random, MembershipModel.Net.SOUND);
    }

    void at(long time, Runnable task) {
        events.add(new Event(time, order++, task));
    }

    /** A message on its way: it arrives later, once, twice or not at all. */
    void transmit(String from, String to, Runnable delivery) {
        for (long ms : faults.delays(from, to)) {
            at(now + ms, delivery);
        }
    }

    /** What the network does from now on, between members that have no net of their own. */
    public void net(MembershipModel.Net next) {
        faults.net(next);
    }

    /** What the network does to all that one member sends and gets. */
    public void net(String name, MembershipModel.Net own) {
        faults.net(name, own);
    }

    /** Cuts the way from one member to another, in that direction only. */
    public void cut(String from, String to) {
        faults.cut(from, to);
    }

    /** Heals all cuts. */
    public void heal() {
        faults.heal();
    }

    /** Lets so much virtual time go by. */
    public void run(long ms) {
        long end = now + ms;
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event next = events.poll();
            now = Math.max(now, next.at());
            next.task().run();
        }
        now = end;
    }

    public long now() {
        return now;
    }
}
