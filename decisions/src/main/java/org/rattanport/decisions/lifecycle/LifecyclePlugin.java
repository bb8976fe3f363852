package org.rattanport.decisions.lifecycle;

import java.util.Random;
import java.util.Set;
import org.rattanport.decisions.membership.MemberTable;
import org.rattanport.kernel.plugin.Edition;
import org.rattanport.kernel.plugin.Plugin;
import org.rattanport.kernel.plugin.PluginContext;
import org.rattanport.kernel.settings.InstanceSettings;

/** Provides the address selection, the count of requests in flight and the drain. */
public final class LifecyclePlugin implements Plugin {
    @Override
    public String name() {
        return "lifecycle";
    }

    @Override
    public Set<Edition> editions() {
        return Set.of(Edition.PROMPTS, Edition.GATEWAY);
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(InstanceSettings.class, MemberTable.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(AddressSelector.class, InFlightRequests.class, Drain.class);
    }

    private static AddressSelector.AddressCounts addressCounts(PluginContext context) {
        return context.find(AddressSelector.AddressCounts.class)
                .orElse(AddressSelector.AddressCounts.DEFAULTS);
    }

    @Override
    public void start(PluginContext context) {
        MemberTable members = context.require(MemberTable.class);
        InFlightRequests inFlight = new InFlightRequests(context.time());
        context.provide(
                AddressSelector.class,
                new AddressSelector(members, addressCounts(context), new Random()));
        context.provide(InFlightRequests.class, inFlight);
        context.provide(
                Drain.class,
                new Drain(
                        members,
                        inFlight,
                        context.require(InstanceSettings.class).timings().addressTimeToLive(),
                        context.time()));
    }
}
