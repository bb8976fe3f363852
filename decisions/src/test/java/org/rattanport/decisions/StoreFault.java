package org.rattanport.decisions;

/** What happens to one call of the table service. */
public enum StoreFault {
    /** It works. */
    NONE,
    /** Nothing takes effect and the caller is told so. */
    NOT_SENT,
    /** Nothing takes effect and the caller cannot know. */
    LOST_REQUEST,
    /** The write takes effect and the caller cannot know. */
    LOST_ANSWER,
    /** The caller cannot know, and the write takes effect some calls later. */
    LATE_WRITE
}
