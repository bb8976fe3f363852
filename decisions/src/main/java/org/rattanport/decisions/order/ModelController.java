package org.rattanport.decisions.order;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.jboss.logging.Logger;
import org.rattanport.decisions.target.TargetDirectory;
import org.rattanport.kernel.audit.AuditEntry;
import org.rattanport.kernel.audit.AuditTrail;
import org.rattanport.kernel.environment.ActiveEnvironment;
import org.rattanport.kernel.environment.EnvironmentDocument;
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
 * Brings the engines of all models to the versions that the document names, a few at a time.
 *
 * <p>A leased row with a fencing number makes one instance the controller; one for all models, so
 * that the loads of all together stay within what the weight store can take. Orders state the
 * desired version and carry the number. Engines that ignore the number are safe as well: an order
 * repeats what the production document says, so a controller that was paused can only order a
 * version that was in force, and the next round of the present controller corrects it.
 */
public final class ModelController {
    private static final Logger LOGGER = Logger.getLogger(ModelController.class);
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final int ROUNDS_BEFORE_TAKEOVER = 5;
    private static final String LEASE_KEY = "model-controller";
    private static final double PERCENT = 100;

    private final EnvironmentInForce mInForce;
    private final TargetDirectory mDirectory;
    private final EngineClient mEngines;
    private final TableService mTable;
    private final RowCodec mCodec;
    private final AuditTrail mAudit;
    private final Membership mMembership;
    private final InstanceId mSelf;
    private final TimeSource mTime;
    private long mObservedRevision;
    private int mUnchangedRounds;

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

    /** Holds or takes the lease and gives the orders that the bound on loads leaves room for. */
    public void round() {
        Optional<EnvironmentDocument> document =
                mInForce.current(Stage.PRODUCTION)
                        .map(ActiveEnvironment::document)
                        .filter(each -> each.models().stream().anyMatch(ModelPool::hasVersion));
        if (document.isPresent() && isCandidate()) {
            holdLease().ifPresent(lease -> control(document.get(), lease));
        }
    }

    /** Only one instance asks for the lease, so the store is not read by all. */
    private boolean isCandidate() {
        List<Member> alive = mMembership.aliveMembers();
        return !alive.isEmpty()
                && RendezvousHash.order(LEASE_KEY, alive, each -> each.id().name())
                        .getFirst()
                        .id()
                        .equals(mSelf);
    }

    /** Renews the own lease, or takes one that nobody renewed for some rounds of this instance. */
    private Optional<ModelLease> holdLease() {
        Deadline deadline = Deadline.after(mTime, TIMEOUT);
        Optional<Row> row = mTable.get(LEASE_KEY, deadline);
        Optional<ModelLease> current =
                row.map(each -> mCodec.decode(each.value(), ModelLease.class));
        boolean isOthers = current.filter(each -> !isOwn(each)).isPresent();
        if (isOthers && !isStale(row.orElseThrow())) {
            return Optional.empty();
        }
        ModelLease next =
                isOthers || current.isEmpty() ? takeover(current) : renewed(current.get());
        RowWrite write =
                new RowWrite(
                        LEASE_KEY,
                        row.map(Row::revision).orElse(RowWrite.ABSENT),
                        Optional.of(mCodec.encode(next)));
        boolean isHeld =
                mTable.commit(List.of(write), deadline) instanceof TransactionResult.Committed;
        return isHeld ? Optional.of(next) : Optional.empty();
    }

    private boolean isOwn(ModelLease lease) {
        return lease.holder().equals(mSelf.name()) && lease.incarnation() == mSelf.incarnation();
    }

    private static ModelLease renewed(ModelLease own) {
        return new ModelLease(
                own.holder(), own.incarnation(), own.fencingNumber(), own.renewals() + 1);
    }

    private ModelLease takeover(Optional<ModelLease> before) {
        long number = before.map(ModelLease::fencingNumber).orElse(0L) + 1;
        return new ModelLease(mSelf.name(), mSelf.incarnation(), number, 0);
    }

    /** A lease whose revision did not change over some own rounds; no clock is shared. */
    private boolean isStale(Row row) {
        mUnchangedRounds = mObservedRevision == row.revision() ? mUnchangedRounds + 1 : 0;
        mObservedRevision = row.revision();
        return mUnchangedRounds >= ROUNDS_BEFORE_TAKEOVER;
    }

    private void control(EnvironmentDocument document, ModelLease lease) {
        List<Pool> pools =
                document.models().stream().map(model -> new Pool(model, states(model))).toList();
        long loading = pools.stream().mapToLong(Pool::loading).sum();
        for (Pool pool : pools) {
            Optional<Known> next = pool.next();
            if (next.isPresent() && loading < document.limits().modelLoadsAtOnce()) {
                order(next.get().target(), pool.model(), lease);
                loading++;
            }
        }
    }

    private List<Known> states(ModelPool model) {
        return mDirectory.serving(TargetKind.ENGINE, model.name()).stream()
                .map(this::state)
                .flatMap(Optional::stream)
                .sorted(Comparator.comparing(each -> each.target().id().name()))
                .toList();
    }

    private Optional<Known> state(Target engine) {
        try {
            Deadline deadline = Deadline.after(mTime, TIMEOUT);
            return Optional.of(new Known(engine, mEngines.state(engine, deadline)));
        } catch (RattanportException e) {
            return Optional.empty();
        }
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

    private record Known(Target target, EngineState state) {}

    /** The engines of one model. */
    private record Pool(ModelPool model, List<Known> engines) {
        long loading() {
            return engines.stream().filter(each -> each.state().isLoading()).count();
        }

        /** The next engine that should load; none while too few would go on serving. */
        Optional<Known> next() {
            double floor = engines.size() * model.minimumServingPercent() / PERCENT;
            long servingAfter = engines.size() - loading() - 1;
            if (!model.hasVersion() || servingAfter < floor) {
                return Optional.empty();
            }
            return engines.stream()
                    .filter(each -> !each.state().isLoading())
                    .filter(each -> !each.state().version().equals(model.version()))
                    .findFirst();
        }
    }
}
