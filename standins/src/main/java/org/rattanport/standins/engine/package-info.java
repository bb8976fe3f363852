/** Stand-in for a model engine that simulates continuous batching. */
@NullMarked
package org.rattanport.standins.engine;

import org.jspecify.annotations.NullMarked;
