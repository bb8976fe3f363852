package org.rattanport.decisions.environment;

import org.rattanport.kernel.environment.Stage;

/** Keys of the rows that keep environment documents. */
final class DocumentKeys {
    private DocumentKeys() {}

    /** Row that names the current version; small, since every instance reads it again and again. */
    static String head(String environment, Stage stage) {
        return "environment/" + environment + "/" + stage.text();
    }

    static String history(String environment, Stage stage, long version) {
        return historyPrefix(environment, stage) + String.format("%012d", version);
    }

    static String historyPrefix(String environment, Stage stage) {
        return "environment-history/" + environment + "/" + stage.text() + "/";
    }
}
