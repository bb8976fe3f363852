package org.rattanport.standins.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** Remembers which prompt prefixes an engine has computed, in blocks, the least used go first. */
final class PrefixCache {
    static final int BLOCK_TOKENS = 1024;
    private static final int CHARACTERS_PER_TOKEN = 4;

    private final Map<Long, Boolean> mBlocks = new LinkedHashMap<>(16, 0.75f, true);

    /** Tokens at the start of the prompt that are cached; the whole prompt is cached afterwards. */
    synchronized int lookUpAndAdd(String prompt, long capacityTokens) {
        int blockCharacters = BLOCK_TOKENS * CHARACTERS_PER_TOKEN;
        int cached = 0;
        boolean isHit = true;
        long hash = 0;
        for (int end = blockCharacters; end <= prompt.length(); end += blockCharacters) {
            hash = hash * 1_000_003 + prompt.substring(end - blockCharacters, end).hashCode();
            boolean isKnown = mBlocks.put(hash, Boolean.TRUE) != null;
            isHit = isHit && isKnown;
            cached += isHit ? BLOCK_TOKENS : 0;
        }
        evict(capacityTokens);
        return cached;
    }

    private void evict(long capacityTokens) {
        Iterator<Long> oldest = mBlocks.keySet().iterator();
        while (oldest.hasNext() && (long) mBlocks.size() * BLOCK_TOKENS > capacityTokens) {
            oldest.next();
            oldest.remove();
        }
    }
}
