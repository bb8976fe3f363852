package org.rattanport.decisions.gateway;

/** Records the work of this instance in its own book only. */
public final class LocalNews implements WorkNews {
    private final WorkBook mBook;

    public LocalNews(WorkBook book) {
        mBook = book;
    }

    @Override
    public void placed(Work work) {
        mBook.placed(work);
    }

    @Override
    public void writes(String id) {
        mBook.writes(id);
    }

    @Override
    public void ended(String id) {
        mBook.ended(id);
    }
}
