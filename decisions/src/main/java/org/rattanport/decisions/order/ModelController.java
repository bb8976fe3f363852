package org.rattanport.decisions.order;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.jboss.logging.Logger;
import org.rattanport.decisions.target.TargetDirectory;
import org.rattanport.kernel.audit.AuditEntry;
import org.rattanport.kernel.audit.AuditTrail;
import org.rattanport.kernel.environment.EnvironmentInForce;
import org.rattanport.kernel.environment.ModelPool;
import org.rattanport.kernel.environment.Stage;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.model.RendezvousHash;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.model.TargetKind;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.Membership;
import org.rattanport.kernel.platform.Row;
import org.rattanport.kernel.platform.RowCodec;
import org.rattanport.kernel.platform.RowWrite;
import org.rattanport.kernel.platform.TableService;
import org.rattanport.kernel.platform.TransactionResult;
import org.rattanport.kernel.target.EngineClient;
import org.rattanport.kernel.target.EngineState;
import org.rattanport.kernel.target.ModelOrder;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Brings the engines of each model to the version that the document names, one after another.
 *
 * <p>A leased row with a fencing number makes one instance the controller of a model. Orders state
 * the desired version and carry the number. Engines that ignore the number are safe as well: an
 * order repeats what the production document says, so a controller that was paused can only order a
 * version that was in force, and the next round of the present controller corrects it.
 */
public final class ModelController {
    private static final Logger LOGGER = Logger.getLogger(ModelController.class);
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final int ROUNDS_BEFORE_TAKEOVER = 5;
    private static final int LOADS_AT_ONCE = 1;

    private final EnvironmentInForce mInForce;
    private final TargetDirectory mDirectory;
    private final EngineClient mEngines;
    private final TableService mTable;
    private final RowCodec mCodec;
    private final AuditTrail mAudit;
    private final InstanceId mSelf;
    private final Membership mMembership;
    private final TimeSource mTime;
    private final java.util.Map<String, Observed> mObserved = new java.util.HashMap<>();

    public ModelController(
            EnvironmentInForce inForce,
            TargetDirectory directory,
            EngineClient engines,
            TableService table,
            RowCodec codec,
            AuditTrail audit,
            Membership membership,
            TimeSource time) {
        mInForce = inForce;
        mDirectory = directory;
        mEngines = engines;
        mTable = table;
        mCodec = codec;
        mAudit = audit;
        mMembership = membership;
        mSelf = membership.self().id();
        mTime = time;
    }

    /** Holds or takes the lease of each model and gives the next order. */
    public void round() {
        mInForce.current(Stage.PRODUCTION)
                .ifPresent(active -> active.document().models().forEach(this::control));
    }

    private void control(ModelPool model) {
        if (model.version().isEmpty() || !isCandidate(model)) {
            return;
        }
        Optional<ModelLease> lease = holdLease(model);
        lease.ifPresent(held -> orderNext(model, held));
    }

    /** Only one instance asks for the lease of a model, so the store is not read by all. */
    private boolean isCandidate(ModelPool model) {
        List<Member> alive = mMembership.aliveMembers();
        return !alive.isEmpty()
                && RendezvousHash.order("model/" + model.name(), alive, each -> each.id().name())
                        .getFirst()
                        .id()
                        .equals(mSelf);
    }

    /** Renews the own lease, or takes one that nobody renewed for some rounds of this instance. */
    private Optional<ModelLease> holdLease(ModelPool model) {
        String key = "model-lease/" + model.name();
        Deadline deadline = Deadline.after(mTime, TIMEOUT);
        Optional<Row> row = mTable.get(key, deadline);
        Optional<ModelLease> current =
                row.map(each -> mCodec.decode(each.value(), ModelLease.class));
        if (current.filter(each -> !isOwn(each)).isPresent() && !isStale(key, row.orElseThrow())) {
            return Optional.empty();
        }
        ModelLease next =
                current.filter(this::isOwn)
                        .map(
                                own ->
                                        new ModelLease(
                                                own.holder(),
                                                own.incarnation(),
                                                own.fencingNumber(),
                                                own.renewals() + 1))
                        .orElseGet(() -> takeover(current));
        RowWrite write =
                new RowWrite(
                        key,
                        row.map(Row::revision).orElse(RowWrite.ABSENT),
                        Optional.of(mCodec.encode(next)));
        boolean isHeld =
                mTable.commit(List.of(write), deadline) instanceof TransactionResult.Committed;
        return isHeld ? Optional.of(next) : Optional.empty();
    }

    private boolean isOwn(ModelLease lease) {
        return lease.holder().equals(mSelf.name()) && lease.incarnation() == mSelf.incarnation();
    }

    private ModelLease takeover(Optional<ModelLease> before) {
        long number = before.map(ModelLease::fencingNumber).orElse(0L) + 1;
        return new ModelLease(mSelf.name(), mSelf.incarnation(), number, 0);
    }

    /**
     * A lease is stale when its revision did not change over some own rounds; no clock is shared.
     */
    private boolean isStale(String key, Row row) {
        Observed before = mObserved.get(key);
        int rounds =
                before != null && before.revision() == row.revision() ? before.rounds() + 1 : 0;
        mObserved.put(key, new Observed(row.revision(), rounds));
        return rounds >= ROUNDS_BEFORE_TAKEOVER;
    }

    private void orderNext(ModelPool model, ModelLease lease) {
        List<Known> states =
                mDirectory.serving(TargetKind.ENGINE, model.name()).stream()
                        .map(this::state)
                        .flatMap(Optional::stream)
                        .sorted(Comparator.comparing(each -> each.target().id().name()))
                        .toList();
        long loading = states.stream().filter(each -> each.state().isLoading()).count();
        long serving = states.size() - loading;
        long floor = (long) Math.ceil(states.size() * model.minimumServingPercent() / 100.0);
        if (loading >= LOADS_AT_ONCE || serving - 1 < floor) {
            return;
        }
        states.stream()
                .filter(each -> !each.state().isLoading())
                .filter(each -> !each.state().version().equals(model.version()))
                .findFirst()
                .ifPresent(each -> order(each.target(), model, lease));
    }

    private void order(Target engine, ModelPool model, ModelLease lease) {
        ModelOrder order = new ModelOrder(model.name(), model.version(), lease.fencingNumber());
        boolean isTaken = mEngines.order(engine, order, Deadline.after(mTime, TIMEOUT));
        LOGGER.infof("ordered %s to load %s: %s", engine.id(), model.version(), isTaken);
        mAudit.record(
                new AuditEntry(
                        mTime.wallMillis(),
                        mSelf.toString(),
                        "engine " + engine.id(),
                        "load " + model.name() + " " + model.version(),
                        isTaken ? "accepted" : "refused: old fencing number"));
    }

    private Optional<Known> state(Target engine) {
        try {
            Deadline deadline = Deadline.after(mTime, TIMEOUT);
            return Optional.of(new Known(engine, mEngines.state(engine, deadline)));
        } catch (RattanportException e) {
            return Optional.empty();
        }
    }

    private record Known(Target target, EngineState state) {}

    private record Observed(long revision, int rounds) {}
}
