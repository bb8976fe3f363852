/** Stores, distributes and activates versions of environment documents. */
@NullMarked
package org.rattanport.decisions.environment;

import org.jspecify.annotations.NullMarked;
