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
import org.rattanport.kernel.environment.ActiveEnvironments;
import org.rattanport.kernel.environment.EnvironmentDocument;
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
import org.rattanport.kernel.target.ModelAssignment;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Rolls the engines of all models to the versions that the production document names, with a limit
 * on concurrent loads.
 *
 * <p>A lease with a fencing number makes one instance the controller. It controls all models, so
 * that all loads together stay within the capacity of the weight store. Orders state the desired
 * version and carry the fencing number. Engines that ignore the number are safe as well: an order
 * repeats the version of the production document, so a controller that resumes after a pause can
 * only order a version that was active before, and the next round of the current controller
 * corrects it.
 */
public final class ModelController {
    private static final Logger LOGGER = Logger.getLogger(ModelController.class);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
    private static final int ROUNDS_BEFORE_TAKEOVER = 5;
    private static final String LEASE_KEY = "model-controller";
    private static final double PERCENT = 100;

    private final ActiveEnvironments mActiveEnvironments;
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
            ActiveEnvironments activeEnvironments,
            TargetDirectory directory,
            EngineClient engines,
            TableService table,
            RowCodec codec,
            AuditTrail audit,
            Membership membership,
            TimeSource time) {
        mActiveEnvironments = activeEnvironments;
        mDirectory = directory;
        mEngines = engines;
        mTable = table;
        mCodec = codec;
        mAudit = audit;
        mMembership = membership;
        mSelf = membership.self().id();
        mTime = time;
    }

    /** Acquires or renews the lease and orders as many loads as the limit on loads allows. */
    public void reconcile() {
        Optional<EnvironmentDocument> document =
                mActiveEnvironments
                        .current(Stage.PRODUCTION)
                        .map(ActiveEnvironment::document)
                        .filter(each -> each.models().stream().anyMatch(ModelPool::hasVersion));
        if (document.isPresent() && isCandidate()) {
            acquireOrRenewLease().ifPresent(lease -> orderLoads(document.get(), lease));
        }
    }

    /** Rendezvous hashing selects one candidate, so that only this instance reads the lease. */
    private boolean isCandidate() {
        List<Member> alive = mMembership.aliveMembers();
        return !alive.isEmpty()
                && RendezvousHash.order(LEASE_KEY, alive, each -> each.id().name())
                        .getFirst()
                        .id()
                        .equals(mSelf);
    }

    /** Renews the lease of this instance, or takes over one that its holder stopped renewing. */
    private Optional<ModelLease> acquireOrRenewLease() {
        Deadline deadline = Deadline.after(mTime, CALL_TIMEOUT);
        Optional<Row> row = mTable.get(LEASE_KEY, deadline);
        Optional<ModelLease> current =
                row.map(each -> mCodec.decode(each.value(), ModelLease.class));
        boolean isHeldByOther = current.filter(each -> !isOwn(each)).isPresent();
        if (isHeldByOther && !observeRevisionAndCheckStale(row.orElseThrow())) {
            return Optional.empty();
        }
        ModelLease next =
                isHeldByOther || current.isEmpty()
                        ? takeoverLease(current)
                        : renewedLease(current.get());
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

    private static ModelLease renewedLease(ModelLease lease) {
        return new ModelLease(
                lease.holder(), lease.incarnation(), lease.fencingNumber(), lease.renewals() + 1);
    }

    private ModelLease takeoverLease(Optional<ModelLease> previous) {
        long number = previous.map(ModelLease::fencingNumber).orElse(0L) + 1;
        return new ModelLease(mSelf.name(), mSelf.incarnation(), number, 0);
    }

    /**
     * Whether the revision of the lease stayed the same over several rounds of this instance. The
     * instance counts its own rounds, since instances share no clock.
     */
    private boolean observeRevisionAndCheckStale(Row row) {
        mUnchangedRounds = mObservedRevision == row.revision() ? mUnchangedRounds + 1 : 0;
        mObservedRevision = row.revision();
        return mUnchangedRounds >= ROUNDS_BEFORE_TAKEOVER;
    }

    private void orderLoads(EnvironmentDocument document, ModelLease lease) {
        List<ObservedPool> pools =
                document.models().stream()
                        .map(model -> new ObservedPool(model, observeEngines(model)))
                        .toList();
        long loads = pools.stream().mapToLong(ObservedPool::loadingCount).sum();
        for (ObservedPool pool : pools) {
            Optional<ObservedEngine> next = pool.nextEngineToLoad();
            if (next.isPresent() && loads < document.limits().maximumConcurrentModelLoads()) {
                orderLoad(next.get().target(), pool.model(), lease);
                loads++;
            }
        }
    }

    private List<ObservedEngine> observeEngines(ModelPool model) {
        return mDirectory.serving(TargetKind.ENGINE, model.name()).stream()
                .map(this::observeEngine)
                .flatMap(Optional::stream)
                .sorted(Comparator.comparing(each -> each.target().id().name()))
                .toList();
    }

    private Optional<ObservedEngine> observeEngine(Target engine) {
        try {
            Deadline deadline = Deadline.after(mTime, CALL_TIMEOUT);
            return Optional.of(new ObservedEngine(engine, mEngines.state(engine, deadline)));
        } catch (RattanportException e) {
            return Optional.empty();
        }
    }

    private void orderLoad(Target engine, ModelPool model, ModelLease lease) {
        ModelAssignment assignment =
                new ModelAssignment(model.name(), model.version(), lease.fencingNumber());
        boolean isAccepted =
                mEngines.assignModel(engine, assignment, Deadline.after(mTime, CALL_TIMEOUT));
        LOGGER.infof(
                "ordered engine %s to load version %s, accepted: %s",
                engine.id(), model.version(), isAccepted);
        mAudit.record(
                new AuditEntry(
                        mTime.wallMillis(),
                        mSelf.toString(),
                        "engine " + engine.id(),
                        "load " + model.name() + " " + model.version(),
                        isAccepted ? "accepted" : "refused: old fencing number"));
    }

    private record ObservedEngine(Target target, EngineState state) {}

    /** The engines of one model with the states that they report. */
    private record ObservedPool(ModelPool model, List<ObservedEngine> engines) {
        long loadingCount() {
            return engines.stream().filter(each -> each.state().isLoading()).count();
        }

        /** Returns the next engine to load; none if the load left too few engines serving. */
        Optional<ObservedEngine> nextEngineToLoad() {
            double minServing = engines.size() * model.minimumServingPercent() / PERCENT;
            long servingAfter = engines.size() - loadingCount() - 1;
            if (!model.hasVersion() || servingAfter < minServing) {
                return Optional.empty();
            }
            return engines.stream()
                    .filter(each -> !each.state().isLoading())
                    .filter(each -> !each.state().version().equals(model.version()))
                    .findFirst();
        }
    }
}
