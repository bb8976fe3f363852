/** Cluster membership of instances by SWIM-style gossip: failure detection and dissemination. */
@NullMarked
package org.rattanport.decisions.membership;

import org.jspecify.annotations.NullMarked;
