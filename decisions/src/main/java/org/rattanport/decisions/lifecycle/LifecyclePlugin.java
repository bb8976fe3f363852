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
        return Set.of(AddressBook.class, InFlight.class, Drain.class);
    }

    private static AddressBook.Spread spread(PluginContext context) {
        return context.find(AddressBook.Spread.class).orElse(AddressBook.Spread.DEFAULTS);
    }

    @Override
    public void start(PluginContext context) {
        MemberTable members = context.require(MemberTable.class);
        InFlight inFlight = new InFlight(context.time());
        context.provide(AddressBook.class, new AddressBook(members, spread(context), new Random()));
        context.provide(InFlight.class, inFlight);
        context.provide(
                Drain.class,
                new Drain(
                        members,
                        inFlight,
                        context.require(InstanceSettings.class).timings().addressTimeToLive(),
                        context.time()));
    }
}
