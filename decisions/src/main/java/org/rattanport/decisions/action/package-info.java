/** Runs operations of plain services; those that are not idempotent run at most once. */
@NullMarked
package org.rattanport.decisions.action;

import org.jspecify.annotations.NullMarked;
