package org.rattanport.connectors.http;

import java.util.concurrent.atomic.AtomicBoolean;

/** Whether any byte of a request may have left; carried as a tag of the request. */
public final class SendMark {
    private final AtomicBoolean mIsSent = new AtomicBoolean();

    void sent() {
        mIsSent.set(true);
    }

    public boolean isSent() {
        return mIsSent.get();
    }
}
