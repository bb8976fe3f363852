package org.rattanport.benchmark.demo;

/** Guarantee that the system makes to its users and that the demo checks. */
public enum Promise {
    ENDS_IN_TIME("every admitted request ends in its time"),
    NO_MEMORY_LOST("no engine loses memory for good"),
    WHOLE_ANSWER("each caller gets the whole answer to its own request"),
    TRUE_NOT_RUN("a refusal that says not run is true"),
    AT_MOST_ONCE("a call that may not be repeated runs at most once"),
    LEAVING_GETS_NOTHING("a leaving target gets no new work after a few seconds"),
    STOP_CUTS_NOTHING("a planned stop cuts no request"),
    DOCUMENT_IN_FORCE("an accepted document is in force everywhere and never reverts");

    private final String mText;

    Promise(String text) {
        mText = text;
    }

    public String text() {
        return mText;
    }
}
