/** Membership of entry instances by probes and rumors. */
@NullMarked
package org.rattanport.decisions.membership;

import org.jspecify.annotations.NullMarked;
