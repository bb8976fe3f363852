package org.rattanport.decisions;

import java.util.HashMap;
import java.util.Map;
import org.rattanport.kernel.platform.RowCodec;

/** Stores records in memory under a token, because the decisions module has no text format. */
public final class FakeRowCodec implements RowCodec {
    private final Map<String, Record> mRecords = new HashMap<>();

    @Override
    public synchronized String encode(Record value) {
        String token = "row-" + mRecords.size();
        mRecords.put(token, value);
        return token;
    }

    @Override
    public synchronized <T extends Record> T decode(String text, Class<T> type) {
        return type.cast(mRecords.get(text));
    }
}
