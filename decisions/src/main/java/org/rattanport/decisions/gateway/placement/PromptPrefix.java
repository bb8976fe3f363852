package org.rattanport.decisions.gateway.placement;

import java.util.ArrayList;
import java.util.List;
import org.rattanport.kernel.gateway.PromptPart;
import org.rattanport.kernel.model.Fingerprint;

/**
 * The beginning of a prompt up to the end of one of its parts.
 *
 * @param id fingerprint of all parts up to that one, as a part is of use only after the same parts
 * @param tokens tokens of the last of these parts, or those of them that an engine holds
 */
public record PromptPrefix(Fingerprint id, int tokens) {
    /** Returns the prefixes of a prompt, the shortest one first. */
    public static List<PromptPrefix> of(List<PromptPart> parts) {
        List<PromptPrefix> prefixes = new ArrayList<>();
        String previous = "";
        for (PromptPart part : parts) {
            Fingerprint id = Fingerprint.of(previous, part.id(), Integer.toString(part.tokens()));
            prefixes.add(new PromptPrefix(id, part.tokens()));
            previous = id.value();
        }
        return List.copyOf(prefixes);
    }
}
