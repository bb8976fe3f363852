/** Reasons to refuse a prompt before anything is sent. */
@NullMarked
package org.rattanport.decisions.admission;

import org.jspecify.annotations.NullMarked;
