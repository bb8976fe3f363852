package org.rattanport.standins.fleet;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.rattanport.connectors.caller.KeyHash;
import org.rattanport.connectors.http.HttpClientRequest;
import org.rattanport.connectors.json.Json;
import org.rattanport.daemon.Instance;
import org.rattanport.daemon.Logging;
import org.rattanport.kernel.environment.ActiveEnvironments;
import org.rattanport.kernel.environment.Stage;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.model.TargetKind;
import org.rattanport.kernel.platform.InstanceList.ListedInstance;
import org.rattanport.kernel.settings.InstanceSettings;
import org.rattanport.kernel.settings.InstanceSettings.PlatformBaseUrls;
import org.rattanport.kernel.settings.InstanceSettings.Timings;
import org.rattanport.kernel.settings.PolicyChoice;
import org.rattanport.standins.InstanceListStandIn;
import org.rattanport.standins.ObjectStoreStandIn;
import org.rattanport.standins.ServiceStandIn;
import org.rattanport.standins.TableStandIn;
import org.rattanport.standins.engine.EngineProfile;
import org.rattanport.standins.engine.EngineStandIn;

/** Entry instances and all stand-ins in one process; they communicate over loopback ports. */
public final class Fleet implements AutoCloseable {
    public static final String OPERATOR_KEY = "operator-key";

    private static final String PEER_SECRET = "a-secret-of-the-trial-fleet";
    private static final Duration CALL_TIMEOUT = Duration.ofMinutes(5);

    private final Builder mBuilder;
    private final TableStandIn mTable;
    private final ObjectStoreStandIn mObjectStore;
    private final InstanceListStandIn mInstanceList;
    private final ServiceStandIn.RunCounter mRunCounter = new ServiceStandIn.RunCounter();
    private final List<EngineStandIn> mEngines = new ArrayList<>();
    private final List<ServiceStandIn> mServiceTargets = new ArrayList<>();
    private final List<Instance> mInstances = new ArrayList<>();
    private final CallerClient mClient = new CallerClient(CALL_TIMEOUT);
    private int mStartedInstanceCount;

    private Fleet(Builder builder) {
        mBuilder = builder;
        mTable = new TableStandIn(0, builder.mSeed);
        mObjectStore = new ObjectStoreStandIn(0);
        mInstanceList = new InstanceListStandIn(0, builder.mListLag);
        for (int i = 0; i < builder.mEngineCount; i++) {
            addEngine("engine-" + i);
        }
        for (int i = 0; i < builder.mServiceTargetCount; i++) {
            addServiceTarget("service-" + i, i);
        }
    }

    public static Builder builder() {
        return new Builder();
    }

    private void addEngine(String name) {
        EngineStandIn engine =
                new EngineStandIn(name, FleetDocument.MODEL, mBuilder.mProfile, false);
        mEngines.add(engine);
        mInstanceList.put(target(engine, false));
    }

    private static Target target(EngineStandIn engine, boolean isDraining) {
        return new Target(
                new TargetId(engine.name(), engine.incarnation()),
                TargetKind.ENGINE,
                FleetDocument.MODEL,
                engine.address(),
                "dc-1",
                isDraining);
    }

    private void addServiceTarget(String name, int index) {
        ServiceStandIn service = new ServiceStandIn(0, mRunCounter, mBuilder.mSeed + index);
        mServiceTargets.add(service);
        mInstanceList.put(
                new Target(
                        new TargetId(name, 1),
                        TargetKind.SERVICE,
                        FleetDocument.SERVICE,
                        service.address(),
                        "dc-1",
                        false));
    }

    /** Starts one more entry instance and adds it to the instance list. */
    public Instance startInstance() {
        String name = "instance-" + mStartedInstanceCount++;
        InstanceSettings settings =
                new InstanceSettings(
                        name,
                        "dc-" + (1 + mStartedInstanceCount % 3),
                        "region-1",
                        FleetDocument.ENVIRONMENT,
                        "127.0.0.1:0",
                        "127.0.0.1:0",
                        PEER_SECRET,
                        List.of(KeyHash.of(OPERATOR_KEY)),
                        new PlatformBaseUrls(mTable.url(), mObjectStore.url(), mInstanceList.url()),
                        mBuilder.mTimings);
        Instance.Builder instanceBuilder = Instance.builder(settings);
        mBuilder.mPolicy.ifPresent(instanceBuilder::policy);
        Instance instance = instanceBuilder.start();
        mInstances.add(instance);
        mInstanceList.put(
                new ListedInstance(
                        name,
                        instance.localAddresses().callerAddress(),
                        instance.localAddresses().peerAddress(),
                        settings.dataCentre(),
                        false));
        return instance;
    }

    /** Writes a document as the next version of a stage; returns the new version. */
    public long putDocument(Stage stage, FleetDocument document) {
        Instance instance = mInstances.getFirst();
        long expectedVersion =
                instance.context().require(ActiveEnvironments.class).activeVersion(stage);
        ActionOutcome outcome = putDocument(instance, stage, document, expectedVersion, "fleet");
        if (!outcome.isSuccess()) {
            throw new IllegalStateException("the document was not accepted: " + outcome);
        }
        return expectedVersion + 1;
    }

    /** Sends a document to an instance as an operator does. */
    public ActionOutcome putDocument(
            Instance instance,
            Stage stage,
            FleetDocument document,
            long expectedVersion,
            String operator) {
        HttpClientRequest request =
                operatorRequest(
                                instance,
                                "/operator/environment/"
                                        + stage.wireName()
                                        + "?expected_version="
                                        + expectedVersion)
                        .header("Rattanport-Operator", operator)
                        .put(document.json().getBytes(StandardCharsets.UTF_8));
        return mClient.send(request);
    }

    /** Requests the promotion of a trial version from an instance as an operator does. */
    public ActionOutcome promote(Instance instance, long trialVersion, long expectedVersion) {
        HttpClientRequest request =
                operatorRequest(
                                instance,
                                "/operator/promotions?trial_version="
                                        + trialVersion
                                        + "&expected_version="
                                        + expectedVersion)
                        .header("Rattanport-Operator", "fleet")
                        .post(Json.newObject());
        return mClient.send(request);
    }

    /** Builds a request that carries the operator key. */
    public HttpClientRequest.Builder operatorRequest(Instance instance, String path) {
        return HttpClientRequest.builder(instance.localAddresses().callerAddress(), path)
                .header("Authorization", "Bearer " + OPERATOR_KEY);
    }

    /** Polls until the condition holds; returns false if it does not within the limit. */
    public static boolean await(Duration limit, java.util.function.BooleanSupplier condition) {
        var time = new org.rattanport.kernel.time.SystemTimeSource();
        var deadline = org.rattanport.kernel.time.Deadline.after(time, limit);
        while (!condition.getAsBoolean()) {
            if (deadline.hasPassed(time)) {
                return false;
            }
            time.sleep(Duration.ofMillis(5));
        }
        return true;
    }

    /** Waits until every instance has the version active and knows all engines and instances. */
    public boolean awaitReady(Stage stage, long version, Duration limit) {
        return await(
                limit, () -> mInstances.stream().allMatch(each -> isReady(each, stage, version)));
    }

    private boolean isReady(Instance instance, Stage stage, long version) {
        var context = instance.context();
        boolean hasVersion =
                context.require(ActiveEnvironments.class).activeVersion(stage) >= version;
        var directory = context.require(org.rattanport.decisions.target.TargetDirectory.class);
        var engineLoads = context.require(org.rattanport.decisions.target.EngineLoadTable.class);
        var membership = context.require(org.rattanport.kernel.peer.Membership.class);
        int engineCount =
                engineLoads
                        .candidates(directory.serving(TargetKind.ENGINE, FleetDocument.MODEL))
                        .size();
        return hasVersion
                && engineCount == mEngines.size()
                && membership.aliveMembers().size() == mInstances.size();
    }

    /** Stops an instance gracefully; returns whether all requests ended before the drain limit. */
    public boolean stop(Instance instance) {
        boolean hasEndedAllRequests = instance.stop();
        remove(instance);
        return hasEndedAllRequests;
    }

    /** Ends an instance at once, without a notice to its callers and peers, as a crash does. */
    public void kill(Instance instance) {
        instance.kill();
        remove(instance);
    }

    private void remove(Instance instance) {
        mInstances.remove(instance);
        mInstanceList.removeInstanceAfterLag(instance.id().name());
    }

    public TableStandIn table() {
        return mTable;
    }

    public InstanceListStandIn instanceList() {
        return mInstanceList;
    }

    public List<EngineStandIn> engines() {
        return mEngines;
    }

    public List<ServiceStandIn> serviceTargets() {
        return mServiceTargets;
    }

    public List<Instance> instances() {
        return mInstances;
    }

    public ServiceStandIn.RunCounter runCounter() {
        return mRunCounter;
    }

    public CallerClient client() {
        return mClient;
    }

    /** Returns the caller address of the instance at the index. */
    public String callerAddress(int index) {
        return mInstances.get(index).localAddresses().callerAddress();
    }

    @Override
    public void close() {
        List.copyOf(mInstances).forEach(Instance::kill);
        mInstances.clear();
        mEngines.forEach(EngineStandIn::close);
        mServiceTargets.forEach(ServiceStandIn::close);
        mInstanceList.close();
        mObjectStore.close();
        mTable.close();
        mClient.close();
    }

    /** Configures and starts a fleet. */
    public static final class Builder {
        private int mInstanceCount = 3;
        private int mEngineCount = 4;
        private int mServiceTargetCount = 2;
        private long mSeed = 1;
        private EngineProfile mProfile = EngineProfile.defaults(10);
        private Duration mListLag = Duration.ofSeconds(2);
        private Timings mTimings = fastTimings();
        private Optional<PolicyChoice> mPolicy = Optional.empty();
        private FleetDocument mDocument = FleetDocument.withAccounts(4);

        /** Shortened periods, with which a fleet starts, runs and stops within a minute. */
        public static Timings fastTimings() {
            return new Timings(
                    Duration.ofMillis(200),
                    Duration.ofMillis(400),
                    Duration.ofMillis(1600),
                    Duration.ofMillis(500),
                    Duration.ofMillis(100),
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(2),
                    Duration.ofSeconds(30));
        }

        public Builder instances(int count) {
            mInstanceCount = count;
            return this;
        }

        public Builder engines(int count, EngineProfile profile) {
            mEngineCount = count;
            mProfile = profile;
            return this;
        }

        public Builder serviceTargets(int count) {
            mServiceTargetCount = count;
            return this;
        }

        public Builder seed(long seed) {
            mSeed = seed;
            return this;
        }

        public Builder timings(Timings timings) {
            mTimings = timings;
            return this;
        }

        public Builder policy(PolicyChoice policy) {
            mPolicy = Optional.of(policy);
            return this;
        }

        public Builder document(FleetDocument document) {
            mDocument = document;
            return this;
        }

        /** Starts the fleet, writes the document and waits until all instances are ready. */
        public Fleet start() {
            Logging.configure(System.err, System.getProperty("rattanport.log", "ERROR"));
            Fleet fleet = new Fleet(this);
            for (int i = 0; i < mInstanceCount; i++) {
                fleet.startInstance();
            }
            long version = fleet.putDocument(Stage.PRODUCTION, mDocument);
            if (!fleet.awaitReady(Stage.PRODUCTION, version, Duration.ofSeconds(20))) {
                fleet.close();
                throw new IllegalStateException("the fleet was not ready within 20 s");
            }
            return fleet;
        }
    }
}
