package org.rattanport.decisions.environment;

/** The row that names the current version of a stage and the change that wrote it. */
record DocumentHead(long version, String changeId) {}
