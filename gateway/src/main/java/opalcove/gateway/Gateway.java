package opalcove.gateway;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import opalcove.decision.Admission;
import opalcove.decision.Policy;
import org.tinylog.Logger;

/**
 * The core: takes asks in from any front, has the decision module choose, makes the attempts over any links and hands
 * back exactly one final answer. It knows no wire. All of it runs on one event loop.
 */
public final class Gateway {
    /**
     * How much earlier than the terminal the module gives up, ms. Guards against a final answer that is late because
     * the machine was: a pause of the process or a slow wake-up.
     */
    private static final double ANSWER_MARGIN_MS = 25;
    /** The last moment for a final answer should the module give none, ms before the terminal gives up. */
    private static final double GUARD_MARGIN_MS = 5;

    private final Clock clock;
    private final Alarms alarms;
    private final Map<Long, Alarms.Alarm> wakes = new HashMap<>();
    private final Admission.Settings settings;
    private final NodeLinks links;
    private final NodeList nodes = new NodeList();
    private final Guards guards;
    private final Counters counters = new Counters();
    private final AskRules rules;
    private final Map<String, Life> lives = new HashMap<>();
    private final ArrayDeque<Runnable> turns = new ArrayDeque<>();
    private final Admission module;
    private boolean inTurn;

    public Gateway(Vertx vertx, Clock clock, Admission.Settings settings, long seed, NodeLinks links) {
        this.clock = clock;
        alarms = new Alarms(vertx, clock);
        this.settings = settings;
        this.links = links;
        guards = new Guards(settings, nodes);
        rules = new AskRules(settings);
        module = new Policy(clock.now(), settings, seed, new Decisions());
    }

    /** The life of one ask, from top to bottom. The answer fails only where the terminal left and none is owed. */
    public Future<Answer> serve(Ask ask, Future<Void> terminalLeft) {
        counters.taken++;
        Admission.RequestClass requestClass;
        try {
            requestClass = rules.requestClass(rules.check(ask).requestClass());
        } catch (Marks.Unfit e) {
            return count(Future.succeededFuture(new Answer.Failed(e.getMessage())));
        }
        if (lives.containsKey(ask.id())) {
            // Guards an open ask against another terminal that names its id: it is neither joined, answered nor ended.
            return count(Future.succeededFuture(new Answer.Failed("this id is under way")));
        }
        if (lives.size() >= settings.limits().maxOpen()) {
            // Guards memory and descriptors against more open asks than this machine can hold.
            return count(Future.succeededFuture(new Answer.Refused((long) settings.limits().maxRetryAfterMs())));
        }
        Life life = take(ask, requestClass);
        terminalLeft.onComplete(left -> leave(life));
        return count(askModule(life)
                .compose(step -> follow(life, step))
                .onComplete(answered -> close(life)));
    }

    /** Does what the module chose, asks it again after each attempt, and ends with the final answer. */
    private Future<Answer> follow(Life life, Life.Step step) {
        if (step instanceof Life.Step.Final end) {
            return Future.succeededFuture(end.answer());
        }
        Future<Life.Step> next = life.nextStep();
        attempt(life, (Life.Step.SendTo) step).onSuccess(end -> askAgain(life, end));
        return next.compose(chosen -> follow(life, chosen));
    }

    /** What an ask must be like; a front reads it by these rules before it has it served. */
    public AskRules rules() {
        return rules;
    }

    private Life take(Ask ask, Admission.RequestClass requestClass) {
        Life life = new Life(ask, requestClass, clock.now());
        lives.put(ask.id(), life);
        life.deadline = alarms.set(ask.waitMs() - GUARD_MARGIN_MS, () -> overdue(life));
        return life;
    }

    private Future<Life.Step> askModule(Life life) {
        Ask ask = life.ask;
        Future<Life.Step> first = life.nextStep();
        tell(() -> module.request(clock.now(), new Admission.Request(ask.id(), ask.requestClass(), ask.plan(),
                ask.operator(), ask.units(), Math.max(1, ask.waitMs() - ANSWER_MARGIN_MS), ask.gateways(),
                ask.retry())));
        return first;
    }

    /** One attempt: made if the rules allow it, else ended as not sent. */
    private Future<Ended> attempt(Life life, Life.Step.SendTo step) {
        double now = clock.now();
        int number = life.tries.size();
        String objection = guards.objection(life, step.node(), now);
        Life.Try attempt = new Life.Try(objection == null ? nodes.open(step.node()) : null, now);
        life.tries.add(attempt);
        if (objection != null) {
            counters.guarded++;
            Logger.warn("{} is not sent to {}: {}", life.ask.id(), step.node(), objection);
            attempt.result = Admission.Result.NOT_SENT;
            return Future.succeededFuture(new Ended(number, step.node(), NodeEnd.silent(Admission.Result.NOT_SENT)));
        }
        counters.attempts++;
        double left = life.takenAt + life.ask.waitMs() - now;
        attempt.running = links.attempt(attempt.node, life.ask, step.timeoutMs() > 0 ? Math.min(left, step.timeoutMs())
                : left);
        return attempt.running.end().map(end -> {
            attempt.result = end.result();
            counters.ended(end.result());
            return new Ended(number, step.node(), end);
        });
    }

    private record Ended(int number, String node, NodeEnd end) { }

    /** Tells the module how an attempt ended. A served value is final; else the module's next step follows. */
    private void askAgain(Life life, Ended ended) {
        NodeEnd end = ended.end();
        boolean served = end.result() == Admission.Result.SERVED;
        double now = clock.now();
        tell(() -> {
            boolean first = served && !life.over;
            if (first) {
                life.decide(new Life.Step.Final(new Answer.Served(end.value())));
            }
            module.outcome(now, new Admission.Outcome(life.ask.id(), ended.node(), ended.number(), end.result(),
                    now - life.tries.get(ended.number()).sentAt, life.over, end.usedPercent(),
                    first ? end.trueUnits() : 0, end.load()));
        });
    }

    /** Guards the promise of one answer in time against a module that holds an ask too long. */
    private void overdue(Life life) {
        if (life.over) {
            return;
        }
        counters.overdue++;
        Logger.error("{} had no answer at its deadline", life.ask.id());
        end(life, () -> life.decide(new Life.Step.Final(new Answer.Failed("deadline"))));
    }

    private void leave(Life life) {
        if (life.over) {
            return;
        }
        counters.left++;
        end(life, life::abandon);
    }

    /** Has the module give up the life's attempts, which needs its ledger, and only then closes the ledger. */
    private void end(Life life, Runnable closing) {
        tell(() -> {
            module.gone(clock.now(), life.ask.id());
            turns.add(closing);
        });
    }

    private void close(Life life) {
        life.deadline.cancel();
        lives.remove(life.ask.id(), life);
    }

    private Future<Answer> count(Future<Answer> answer) {
        return answer.onSuccess(each -> {
            if (each instanceof Answer.Served) {
                counters.served++;
            } else if (each instanceof Answer.Refused) {
                counters.refused++;
            } else {
                counters.failed++;
            }
        });
    }

    /** Takes in the node list, whole or its changed lines. */
    public void nodesTold(boolean whole, List<AppNode> lines) {
        nodes.told(whole, lines).forEach(links::forget);
        tell(() -> module.hosts(clock.now(), whole, lines.stream().map(AppNode::host).toList()));
    }

    /** The node list as last told. */
    public List<AppNode> nodes() {
        return nodes.all();
    }

    /** A front has joined a redelivery to the request under way, or to its answer. */
    public void joined() {
        counters.joined++;
    }

    /** The counters, and what is open at this moment; one name and figure a line. */
    public String figures() {
        return counters.lines() + "asks_open=" + lives.size() + "\nlinks_open=" + links.open() + "\nlinks_resting="
                + links.resting() + "\n";
    }

    public Admission.Settings settings() {
        return settings;
    }

    /**
     * Runs events of the module and the steps that it chose one after another. Guards the module against being
     * called from within one of its own calls.
     */
    private void tell(Runnable event) {
        turns.add(event);
        if (inTurn) {
            return;
        }
        inTurn = true;
        try {
            for (Runnable turn = turns.poll(); turn != null; turn = turns.poll()) {
                try {
                    turn.run();
                } catch (RuntimeException e) {
                    // Guards the other asks against a slip that one of them met; that one ends at its deadline.
                    Logger.error(e, "a decision failed");
                }
            }
        } finally {
            inTurn = false;
        }
    }

    /** Turns the module's actions into steps that the asks' lives wait for. */
    private final class Decisions implements Admission.Actions {
        private void decide(String id, Life.Step step) {
            Life life = lives.get(id);
            if (life != null) {
                turns.add(() -> life.decide(step));
            }
        }

        @Override
        public void send(String id, String host, double timeoutMs) {
            decide(id, new Life.Step.SendTo(host, timeoutMs));
        }

        @Override
        public void refuse(String id, double retryAfterMs) {
            Life life = lives.get(id);
            if (life != null && !guards.mayRefuse(life)) {
                // Guards against promising that a repeat is harmless when an attempt may have had its effect.
                counters.guarded++;
                fail(id);
                return;
            }
            decide(id, new Life.Step.Final(new Answer.Refused((long) Math.ceil(Math.max(0, retryAfterMs)))));
        }

        @Override
        public void fail(String id) {
            decide(id, new Life.Step.Final(new Answer.Failed("failed")));
        }

        @Override
        public void cancel(String id, int attempt) {
            Life life = lives.get(id);
            if (life != null && attempt < life.tries.size() && life.tries.get(attempt).result == null) {
                counters.cancelled++;
                NodeLinks.Attempt running = life.tries.get(attempt).running;
                turns.add(running::giveUp);
            }
        }

        @Override
        public void wake(long token, double afterMs) {
            wakes.put(token, alarms.set(afterMs, () -> {
                wakes.remove(token);
                tell(() -> module.timer(clock.now(), token));
            }));
        }

        @Override
        public void forget(long token) {
            Alarms.Alarm alarm = wakes.remove(token);
            if (alarm != null) {
                alarm.cancel();
            }
        }

        @Override
        public void probe(String host) {
            Logger.warn("no probe is sent to {}: this gateway makes none", host);
        }

        @Override
        public void follow() {
            // The node list is always followed here.
        }

        @Override
        public void log(String line) {
            Logger.info(line);
        }
    }
}
