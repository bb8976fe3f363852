package org.rattanport.connectors.peer;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.rattanport.connectors.peer.protocol.BackEndEntry;
import org.rattanport.connectors.peer.protocol.FleetReply;
import org.rattanport.connectors.peer.protocol.FleetRequest;
import org.rattanport.connectors.peer.protocol.RegistryUpdate;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.Evacuations;
import org.rattanport.kernel.gateway.FleetSource.RegistryChange;
import org.rattanport.kernel.gateway.FleetUpdate;
import org.rattanport.kernel.gateway.FleetUpdate.EvacuationUpdate;
import org.rattanport.kernel.gateway.StorePosition;
import org.rattanport.kernel.peer.PeerMessage;

/** Translates requests for the state of the store and their responses. */
final class FleetCodec {
    private FleetCodec() {}

    static FleetRequest encode(PeerMessage.FleetRequest request) {
        return FleetRequest.newBuilder()
                .setDocumentVersion(request.documentVersion())
                .setRegistryVersion(request.registryPosition().version())
                .setRegistryEra(request.registryPosition().era())
                .setEvacuationVersion(request.evacuationPosition().version())
                .setEvacuationEra(request.evacuationPosition().era())
                .setMaxWaitMillis((int) request.maxWaitMillis())
                .build();
    }

    static PeerMessage.FleetRequest decode(FleetRequest request) {
        return new PeerMessage.FleetRequest(
                request.getDocumentVersion(),
                new StorePosition(request.getRegistryEra(), request.getRegistryVersion()),
                new StorePosition(request.getEvacuationEra(), request.getEvacuationVersion()),
                Integer.toUnsignedLong(request.getMaxWaitMillis()));
    }

    static FleetReply encode(PeerMessage.FleetReply reply) {
        FleetUpdate update = reply.update();
        FleetReply.Builder builder =
                FleetReply.newBuilder()
                        .setIsStoreAvailable(update.isStoreAvailable())
                        .setStoreAgeMillis(update.ages().storeMillis())
                        .setDocumentAgeMillis(update.ages().documentMillis())
                        .setRegistryAgeMillis(update.ages().registryMillis());
        update.documentSource().map(GzipCodec::compress).ifPresent(builder::setDocument);
        update.registry().map(FleetCodec::encode).ifPresent(builder::setRegistry);
        update.evacuations().map(FleetCodec::encode).ifPresent(builder::setEvacuations);
        return builder.build();
    }

    static PeerMessage.FleetReply decode(FleetReply reply) {
        return new PeerMessage.FleetReply(
                new FleetUpdate(
                        reply.getIsStoreAvailable(),
                        new FleetUpdate.Ages(
                                reply.getStoreAgeMillis(),
                                reply.getDocumentAgeMillis(),
                                reply.getRegistryAgeMillis()),
                        reply.hasDocument()
                                ? Optional.of(GzipCodec.decompressBytes(reply.getDocument()))
                                : Optional.empty(),
                        reply.hasRegistry()
                                ? Optional.of(decode(reply.getRegistry()))
                                : Optional.empty(),
                        reply.hasEvacuations()
                                ? Optional.of(decode(reply.getEvacuations()))
                                : Optional.empty()));
    }

    private static org.rattanport.connectors.peer.protocol.Evacuations encode(
            EvacuationUpdate update) {
        return org.rattanport.connectors.peer.protocol.Evacuations.newBuilder()
                .setVersion(update.evacuations().position().version())
                .setEra(update.evacuations().position().era())
                .addAllDataCentres(update.evacuations().dataCentres())
                .setAgeMillis(update.ageMillis())
                .build();
    }

    private static EvacuationUpdate decode(
            org.rattanport.connectors.peer.protocol.Evacuations update) {
        return new EvacuationUpdate(
                new Evacuations(
                        new StorePosition(update.getEra(), update.getVersion()),
                        Set.copyOf(update.getDataCentresList())),
                update.getAgeMillis());
    }

    private static RegistryUpdate encode(FleetUpdate.RegistryUpdate update) {
        return RegistryUpdate.newBuilder()
                .setVersion(update.change().position().version())
                .setEra(update.change().position().era())
                .setIsFull(update.isFull())
                .setFollowsOutage(update.followsOutage())
                .addAllPresent(update.change().present().stream().map(FleetCodec::entry).toList())
                .addAllRemoved(update.change().removed())
                .build();
    }

    private static FleetUpdate.RegistryUpdate decode(RegistryUpdate update) {
        return new FleetUpdate.RegistryUpdate(
                new RegistryChange(
                        new StorePosition(update.getEra(), update.getVersion()),
                        update.getPresentList().stream().map(FleetCodec::backEnd).toList(),
                        List.copyOf(update.getRemovedList())),
                update.getIsFull(),
                update.getFollowsOutage());
    }

    private static BackEndEntry entry(BackEnd backEnd) {
        return BackEndEntry.newBuilder()
                .setId(backEnd.id())
                .setStartWallMillis(backEnd.startWallMillis())
                .setService(backEnd.service())
                .setAddress(backEnd.address())
                .setDataCentre(backEnd.dataCentre())
                .setSlots(backEnd.slots())
                .setIsDraining(backEnd.isDraining())
                .setColdLeftMillis(RateLimitCodec.millis(backEnd.coldLeft()))
                .build();
    }

    private static BackEnd backEnd(BackEndEntry entry) {
        return new BackEnd(
                entry.getId(),
                entry.getStartWallMillis(),
                entry.getService(),
                entry.getAddress(),
                entry.getDataCentre(),
                entry.getSlots(),
                entry.getIsDraining(),
                Duration.ofMillis(Integer.toUnsignedLong(entry.getColdLeftMillis())));
    }
}
