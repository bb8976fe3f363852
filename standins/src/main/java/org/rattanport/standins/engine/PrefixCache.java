package org.rattanport.standins.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** Tracks the prompt prefixes that an engine has prefilled, as blocks with LRU eviction. */
final class PrefixCache {
    static final int BLOCK_TOKENS = 1024;
    private static final int CHARACTERS_PER_TOKEN = 4;

    private final Map<Long, Boolean> mBlocks = new LinkedHashMap<>(16, 0.75f, true);

    /** Returns the number of cached tokens at the start of the prompt, then caches its blocks. */
    synchronized int lookUpAndAdd(String prompt, long capacityTokens) {
        int blockCharacters = BLOCK_TOKENS * CHARACTERS_PER_TOKEN;
        int cachedTokens = 0;
        boolean isHit = true;
        long hash = 0;
        for (int end = blockCharacters; end <= prompt.length(); end += blockCharacters) {
            hash = hash * 1_000_003 + prompt.substring(end - blockCharacters, end).hashCode();
            boolean isCached = mBlocks.put(hash, Boolean.TRUE) != null;
            isHit = isHit && isCached;
            cachedTokens += isHit ? BLOCK_TOKENS : 0;
        }
        evict(capacityTokens);
        return cachedTokens;
    }

    private void evict(long capacityTokens) {
        Iterator<Long> leastRecentlyUsed = mBlocks.keySet().iterator();
        while (leastRecentlyUsed.hasNext()
                && (long) mBlocks.size() * BLOCK_TOKENS > capacityTokens) {
            leastRecentlyUsed.next();
            leastRecentlyUsed.remove();
        }
    }
}
