package opalcove.laboratory;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Virtual time and a simulated network, for models without sockets. Events run in the order of their time, and events of the
 * same time in the order in which they were scheduled. Messages are lost, delayed, duplicated and cut as the given random
 * numbers decide, so the same numbers and the same calls give the same history. Times are in ms.
 */
class VirtualNet {
    private record Event(long at, long order, Runnable task) {}

    /** A simulated process, which can be paused and ended. */
    class Process {
        private boolean up = true;
        private long pausedUntil;

        /** Runs a task, after the pause if the process is paused: its messages wait as in a socket buffer. An ended process drops it. */
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

        /** Schedules the next tick of the process; called after each task that it ran. */
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

    /** Sends a message, which is delivered later: once, twice or not at all. */
    void transmit(String from, String to, Runnable delivery) {
        for (long ms : faults.delays(from, to)) {
            at(now + ms, delivery);
        }
    }

    /** Sets the faults from now on between members that have no faults of their own. */
    public void net(MembershipModel.Net next) {
        faults.net(next);
    }

    /** Sets the faults for all messages that one member sends and receives. */
    public void net(String name, MembershipModel.Net own) {
        faults.net(name, own);
    }

    /** Drops all messages from one member to another, in that direction only. */
    public void cut(String from, String to) {
        faults.cut(from, to);
    }

    /** Removes all cuts. */
    public void heal() {
        faults.heal();
    }

    /** Advances virtual time by the given ms and runs the events that are due. */
    public void run(long ms) {
        long end = now + ms;
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event next = events.poll();
            now = Math.max(now, next.at());
            next.task().run();
        }
        now = end;
    }

    /** Returns the virtual time, in ms. */
    public long now() {
        return now;
    }
}
