/** The demo: the main job from end to end, with a check of each promise. */
@NullMarked
package org.rattanport.benchmark.demo;

import org.jspecify.annotations.NullMarked;
